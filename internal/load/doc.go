// Package load is an open-loop load generator: it sends requests at intended
// times whatever the answers do, counts latency from the intended time, and
// judges each answer by its text, its outcome and its latency targets.
package load
