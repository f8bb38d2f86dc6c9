package rpc

import (
	"context"

	"storj.io/drpc"
)

// Dialer gives connections to other processes by address. A Conn is shared
// and stays valid when the network connection breaks: the next call dials.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// MaxMessage bounds one message between processes, bytes.
const MaxMessage = 8 << 20
