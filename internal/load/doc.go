// Package load is an open-loop load generator: it sends requests at their intended
// times regardless of the responses, measures latency from the intended time, and
// judges each response by its text, its outcome and its latency targets.
package load
