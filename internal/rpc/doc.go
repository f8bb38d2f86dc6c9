// Package rpc provides drpc connections between hyssopsail's processes: mutual
// TLS, pooled connections to each peer, message size limits and timeouts. It
// deals with addresses, not with the roles of processes.
package rpc
