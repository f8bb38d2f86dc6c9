package crowd

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rampTime is the time within which all clients of a crowd connect.
	rampTime = 500 * time.Millisecond
	// returnDelay is how long a client stays away whose connection has ended.
	returnDelay = 500 * time.Millisecond
)

// Play plays a crowd until ctx ends, and returns how many connections it opened.
func Play(ctx context.Context, k Kind, t Target) (opened int) {
	var count atomic.Int64
	var clients sync.WaitGroup
	for n := range k.Clients {
		clients.Go(func() {
			pause(ctx, rampTime*time.Duration(n)/time.Duration(k.Clients))
			for ctx.Err() == nil {
				if playOnce(ctx, k, t, n) {
					count.Add(1)
				}
				pause(ctx, returnDelay)
			}
		})
	}
	clients.Wait()
	return int(count.Load())
}

// playOnce plays one connection; it returns false if none was opened.
func playOnce(ctx context.Context, k Kind, t Target, n int) bool {
	conn, err := t.dial(ctx, n)
	if err != nil {
		return false
	}
	end := sync.OnceFunc(func() { reset(conn) })
	defer end()
	defer context.AfterFunc(ctx, end)() // ends whatever the client waits for
	k.play(ctx, &client{Conn: conn, target: t, number: n})
	return true
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	target Target
	number int
	sent   int // requests
}

// send writes bytes, and reports whether the connection is still open.
func (c *client) send(text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// bodyHead returns the head of the next request with a body, without its end.
func (c *client) bodyHead() string { return c.head(cmp.Or(c.target.Method, "POST"), c.target.Path) }

// head returns the next request's head without its end.
func (c *client) head(method, path string) string {
	c.sent++
	return c.target.head(method, path, c.number<<20+c.sent)
}

// awaitEnd waits until the peer closes the connection.
func (c *client) awaitEnd() { c.discard() }

// awaitEndUnread waits until the peer closes the connection, and reads nothing before.
func (c *client) awaitEndUnread(ctx context.Context) {
	for pause(ctx, 300*time.Millisecond) && !hasEnded(c.Conn) {
	}
}

// discard reads all that the peer sends, until the connection ends.
func (c *client) discard() {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// pause waits, and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
