package readlimit

import (
	"cmp"
	"io"
	"sync"
)

// PeerKind is the kind of process that sends; its value is a label of metrics.
type PeerKind string

// The kinds of peers.
const (
	Endpoints PeerKind = "endpoint"
	Callers   PeerKind = "caller"
	Operators PeerKind = "operator" // and endpoints that report to a control instance
	Members   PeerKind = "member"   // other processes of the fleet
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	Peers PeerKind
	// MemoryBytes bounds what all reads hold together, without the first FreeBytes of each;
	// 0 for no bound.
	MemoryBytes int64
	// PeerShare is the share of MemoryBytes that reads from one peer may hold, so that one faulty
	// peer leaves memory for the others; 0 for all of it.
	PeerShare float64
	// FreeBytes is what each read may hold whatever others do, so that small messages pass
	// while large ones fill the memory.
	FreeBytes int64
	Warn      func(message string, keyValues ...any) // logs a line; nil logs nothing
	Metrics   *Metrics
}

// Guard bounds the memory of reads from peers of one kind, and records the bounds that are met.
// It is safe for concurrent use. A nil Guard bounds and records nothing.
type Guard struct {
	options GuardOptions

	mu     sync.Mutex // guards the fields below
	total  int64      // bytes held beyond FreeBytes
	byPeer map[string]int64
}

// NewGuard returns a Guard.
func NewGuard(o GuardOptions) *Guard {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Warn == nil {
		o.Warn = func(string, ...any) {}
	}
	o.PeerShare = cmp.Or(o.PeerShare, 1)
	return &Guard{options: o, byPeer: map[string]int64{}}
}

// Exceeded records that a part from a peer met its bound, and returns the error of the read.
func (g *Guard) Exceeded(peer string, part Part, bytes, bound int64) *Exceeded {
	return g.Record(&Exceeded{Peer: peer, Part: part, Bytes: bytes, Bound: bound})
}

// Record records a bound that was met, and returns the error of the read.
func (g *Guard) Record(e *Exceeded) *Exceeded {
	if g == nil {
		return e
	}
	met := "part"
	if e.Memory {
		met = "memory"
	}
	g.options.Metrics.exceeded.WithLabelValues(string(g.options.Peers), string(e.Part), met).Inc()
	g.options.Warn("A read met its bound.", "peer", e.Peer, "kind", g.options.Peers, "part", e.Part, "bytes", e.Bytes, "bound", e.Bound, "by", met)
	return e
}

// Hold returns a Hold for a part that is read from a peer.
func (g *Guard) Hold(peer string, part Part) *Hold { return &Hold{guard: g, peer: peer, part: part} }

// ReadBody reads a whole body from a peer. One of more than bound bytes ends with an *Exceeded.
func (g *Guard) ReadBody(peer string, from io.Reader, bound int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, bound+1))
	if err != nil {
		return nil, err
	}
	if n := int64(len(body)); n > bound {
		return nil, g.Exceeded(peer, Body, n, bound)
	}
	return body, nil
}

// reserve adds bytes, beyond FreeBytes, to what a peer's reads hold, and returns the bound that
// forbids it; 0 if none does.
func (g *Guard) reserve(peer string, bytes int64) (bound int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.options.MemoryBytes; limit > 0 && bytes > 0 {
		ofPeer := int64(g.options.PeerShare * float64(limit))
		if g.byPeer[peer]+bytes > ofPeer {
			return ofPeer
		}
		if g.total+bytes > limit {
			return limit
		}
	}
	g.total += bytes
	g.byPeer[peer] += bytes
	if g.byPeer[peer] == 0 {
		delete(g.byPeer, peer)
	}
	return 0
}
