package connguard

import "time"

// Limits bounds the connections of one listener. The zero value of a field means no such bound.
type Limits struct {
	// MemoryBytes bounds what all connections hold together.
	MemoryBytes int64
	// Connections bounds how many are open.
	Connections int
	// ConnectionBytes is what an open connection holds: its buffers here and in the kernel, and
	// its goroutines.
	ConnectionBytes int64
	// RequestBytes is what a request holds beside its head and body while it is served.
	RequestBytes int64
	// BytesPerSecond is how fast a request must arrive, on average, after StallTimeout.
	BytesPerSecond int64
	// StallTimeout is how long a client may take to send the rest of a request beyond what
	// BytesPerSecond explains, and to take a part of a response.
	StallTimeout time.Duration
	// ReceiveTimeout bounds the time from the first byte of a request to its last one, and
	// IdleTimeout that without a request, where the server that uses the connections doesn't.
	ReceiveTimeout, IdleTimeout time.Duration
	// SocketBytes bounds what the kernel buffers for a connection in each direction.
	SocketBytes int
	// Backlog bounds the connections that wait to be accepted, for which the kernel may hold
	// SocketBytes each.
	Backlog int
	// Encrypted says that the bytes of connections can't be read, so that lines in heads
	// aren't counted.
	Encrypted bool
}
