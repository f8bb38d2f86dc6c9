// Package coordinator runs a control instance of a fleet whose configuration
// is one document: it forms the control group and joins it without an
// operator's hand, takes documents and endpoints' heartbeats, and tells entries
// what is in force. What must survive is in the replicated log (package
// catalog); who was heard when is kept by the leader alone and rebuilt by the
// next one.
//
// Locks: Coordinator.mu is a leaf; no call is made with it held.
package coordinator
