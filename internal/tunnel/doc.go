// Package tunnel connects an entry that has lost its links to endpoints to them through a
// sibling entry. The sibling opens a connection to the endpoint and passes its bytes on as
// they are; the entry that has the request decides everything about it: whether and where it
// is sent, how often, until when, and what its caller is told. So whatever holds for a request
// over a direct connection holds over a tunnel too.
//
// A sibling connects only to endpoints that it knows itself and only over links of its own, so
// a tunnel has one hop and no loops. How many tunnels it carries is bounded.
//
// Conn tells the end of the endpoint's connection (io.EOF) from any other end: of the sibling's
// process, of its link to the endpoint, or of that between the two entries.
//
// Locking: the locks of Conn, siblingList and Server are leaves.
package tunnel
