// Package catalog is the replicated state of a fleet that takes its
// configuration as whole documents: the newest document, the endpoints that
// have reported, and the entries that take callers. It is a pure state
// machine: no I/O, no clock; equal commands give equal states everywhere.
//
// The revision is the log index of the newest change. A reader that holds a
// revision asks for what changed after it; records that are gone stay as
// tombstones, so that a late heartbeat can't bring an incarnation back.
package catalog
