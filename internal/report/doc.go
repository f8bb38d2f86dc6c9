// Package report writes tables and plots of results of package load, with the
// median and range of each figure over interleaved pairs of variants.
package report
