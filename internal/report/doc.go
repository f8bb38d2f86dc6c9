// Package report turns results of package load into tables and plots, with
// medians and spread over interleaved pairs of variants.
package report
