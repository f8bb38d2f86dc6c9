// Package engine implements the client for the API of package engineapi. It
// checks attempt, incarnation and offsets of each answer, and retries cancels
// until they are confirmed.
package engine
