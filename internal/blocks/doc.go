// Package blocks splits a document at points that its content chooses, and puts
// one together again from blocks that may come from several places. Two versions
// share all blocks in which they are equal, so that a change costs about what it
// changes, and a transfer that was broken off goes on where it ended.
//
// A Document is immutable and safe for concurrent use; an Assembly belongs to one
// goroutine at a time.
package blocks
