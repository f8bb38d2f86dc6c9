// Package timeline records typed events of a daemon in a bounded ring buffer,
// stamped by a hybrid logical clock so that the events of all processes can be
// merged. Events contain no request bodies and no keys.
package timeline
