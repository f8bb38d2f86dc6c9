// Package readlimit bounds what is read from peers that may be faulty: the bytes of one message
// part, and the memory that all unfinished reads hold together. A peer may send bytes without end
// in any part of a message, so that a reader that waits for the end of a line, a header or a body
// would hold all of them.
//
// Each reader bounds its own part and reports a bound that is met to a Guard, which logs and
// counts it. What a reader holds until its part is complete it accounts for in a Hold.
//
// Locking: Guard.mu is a leaf.
package readlimit
