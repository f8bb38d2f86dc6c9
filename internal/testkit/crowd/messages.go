package crowd

import (
	"context"
	"encoding/binary"
	"strings"
	"time"
)

// frame returns the beginning of a frame of a call: of stream 1, message 1, not the last one, with
// the length of its data.
func frame(length int) string {
	const invoke = 1 << 1
	return string(binary.AppendUvarint([]byte{invoke, 1, 1}, uint64(length)))
}

// playHalfMessage stops in the middle of a large message.
func playHalfMessage(_ context.Context, c *client) {
	if c.send(frame(4<<20) + strings.Repeat("x", stalledBytes)) {
		c.awaitEnd()
	}
}

// playSlowMessage sends a message a byte at a time.
func playSlowMessage(ctx context.Context, c *client) {
	for c.send(frame(1)+"x") && pause(ctx, 100*time.Millisecond) {
	}
}

// playTinyMessages sends a message without end in parts of one byte.
func playTinyMessages(_ context.Context, c *client) {
	block := strings.Repeat(frame(1)+"x", 200)
	for c.send(block) {
	}
}

// playZeroBytes sends bytes that are no message, without end.
func playZeroBytes(_ context.Context, c *client) {
	block := strings.Repeat("\x00", blockBytes)
	for c.send(block) {
	}
}
