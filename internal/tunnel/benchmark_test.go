package tunnel

import (
	"io"
	"testing"
)

// BenchmarkTunnel measures one event of 100 bytes from an endpoint, directly and through a
// sibling in the same process.
func BenchmarkTunnel(b *testing.B) {
	event := make([]byte, 100)
	for _, way := range []string{"direct", "tunnel"} {
		b.Run(way, func(b *testing.B) {
			e, dial := newEndpoint(b), dialDirect
			if way == "tunnel" {
				dial = newClient(b, newSibling(b, nil)).Dial
			}
			conn, err := dial(b.Context(), e.address())
			if err != nil {
				b.Fatal(err)
			}
			at := <-e.accepted
			part := make([]byte, len(event))
			for b.Loop() {
				if _, err := at.Write(event); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(conn, part); err != nil {
					b.Fatal(err)
				}
			}
			_, _ = at.Close(), conn.Close()
		})
	}
}
