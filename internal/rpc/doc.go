// Package rpc carries drpc between hyssopsail's processes: TLS with both
// sides checked, one pooled connection for each peer, bounded messages and
// timeouts. It knows addresses, not roles.
package rpc
