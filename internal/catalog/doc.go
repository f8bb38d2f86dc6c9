// Package catalog is the replicated state of a fleet whose configuration is one document:
// the newest document, the endpoints that have reported, and the entries that accept
// callers. It is a pure state machine without I/O or clock: equal commands give equal
// states on all members.
//
// The revision is the log index of the newest change. A reader that has a revision asks
// for the changes after it. Records of endpoints that are gone stay as tombstones, so
// that a late heartbeat can't restore an incarnation.
package catalog
