// Package responsehead rejects responses that net/http's parser accepts though they are none in
// HTTP/1.1 (RFC 9112, RFC 9110): what it skips or ignores in them, such as a length whose name has a
// blank, would make other bytes the body of the response.
//
// It also tells the end of a body that has neither a length nor chunks from a connection that was reset
// while the request was being written. The kernel reports a reset once, to the writer or to the
// reader; to the other one the connection has ended regularly.
package responsehead
