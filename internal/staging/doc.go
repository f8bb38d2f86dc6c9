// Package staging decides which of a service's model endpoints run prefill and
// which decode. It is pure: it takes the time and the known endpoints as input
// and returns at most one change.
package staging
