package rpc

import (
	"context"

	"storj.io/drpc"
)

// Dialer returns connections to other processes by address. A Conn is shared
// and stays valid when the network connection breaks: the next call dials again.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// MaxMessageBytes is the maximum size of one message between processes, bytes.
const MaxMessageBytes = 8 << 20
