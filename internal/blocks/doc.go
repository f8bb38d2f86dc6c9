// Package blocks splits a document into content-defined blocks, and assembles documents
// from blocks that may come from several sources. Two versions share the blocks in which
// they are equal, so that the size of a transfer depends on the change, and an
// interrupted transfer resumes where it ended.
//
// A Document is immutable and safe for concurrent use; an Assembly must be used by one
// goroutine at a time.
package blocks
