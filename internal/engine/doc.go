// Package engine is the client to endpoints: it speaks engineapi, checks
// attempt, incarnation and offsets of each answer, and retries cancels until
// they are confirmed.
package engine
