package connguard

import (
	"net"
	"time"
)

// Options configures a Guard.
type Options struct {
	Listener  string // its name in metrics and logs
	Limits    Limits
	Processor *Processor // of the process; nil: its time isn't bounded
	Metrics   *Metrics   // nil: none
	// Warn logs a line; nil logs nothing.
	Warn func(message string, keyValues ...any)
}

// Guard bounds the connections of one listener.
type Guard struct {
	options                Options
	ledger                 *Ledger
	noMemory, headTooLarge []byte
	headBytes              func() int64 // nil for no bound
}

// New returns a Guard.
func New(o Options) *Guard {
	if o.Warn == nil {
		o.Warn = func(string, ...any) {}
	}
	g := &Guard{options: o, ledger: NewLedger(o.Limits)}
	if o.Metrics == nil {
		g.options.Metrics = NewMetrics(nil)
	}
	g.options.Metrics.watch(o.Listener, g.ledger)
	return g
}

// SetAnswers sets what is sent in place of a response before a connection is closed for want of memory,
// or since a head is too large. It must be called before the first Listen.
func (g *Guard) SetAnswers(noMemory, headTooLarge []byte) {
	g.noMemory, g.headTooLarge = noMemory, headTooLarge
}

// LimitHeads bounds the heads of requests. The bound, in bytes, is asked for at each read of a head; 0 is
// none. It must be called before the first Listen.
func (g *Guard) LimitHeads(bound func() int64) { g.headBytes = bound }

// Listen returns a listener whose connections are bounded.
func (g *Guard) Listen(l net.Listener) net.Listener {
	limitSocket(l, g.options.Limits)
	return listener{Listener: l, guard: g}
}

// record records why a connection ends or a request is refused.
func (g *Guard) record(reason error, conn net.Conn, p Phase, held int64) {
	why := reasonOf(reason)
	g.options.Metrics.closed.WithLabelValues(g.options.Listener, why).Inc()
	connections, all := g.ledger.Use()
	g.options.Warn("A connection met a bound.", "listener", g.options.Listener, "client", conn.RemoteAddr(), "reason", why, "phase", p.String(),
		"held", held, "connections", connections, "all_held", all)
}

// recordRefused records that a request was refused, for want of memory or of processor time.
func (g *Guard) recordRefused(conn net.Conn, lacked string, bytes int64) {
	g.options.Metrics.refused.WithLabelValues(g.options.Listener, lacked).Inc()
	connections, all := g.ledger.Use()
	g.options.Warn("A request was refused unread.", "listener", g.options.Listener, "client", conn.RemoteAddr(), "lacked", lacked, "bytes", bytes,
		"connections", connections, "all_held", all)
}

func (g *Guard) isHeadTooLarge(bytes int64) bool {
	if g.headBytes == nil {
		return false
	}
	bound := g.headBytes()
	return bound > 0 && bytes > bound+headSlack
}

// isHeavy reports whether a connection uses much processor time, by its recent work.
func (g *Guard) isHeavy(recent Work) bool { return g.options.Processor != nil && recent > lightWork }

// turn waits until a connection may go on that has used much processor time; nil if it needs none.
func (g *Guard) turn(now time.Time, recent Work, canceled <-chan struct{}) *turn {
	if !g.isHeavy(recent) {
		return nil
	}
	own := g.options.Processor.turnstile.enter(now, recent, canceled)
	g.recordWait("read", now)
	return own
}

// leaveTurn ends a turn; own may be nil.
func (g *Guard) leaveTurn(own *turn) {
	if own != nil {
		g.options.Processor.turnstile.leave(own)
	}
}

// begin waits until a request of a connection may begin that has used much processor time, and reports
// whether it may.
func (g *Guard) begin(now time.Time, recent Work, canceled <-chan struct{}) bool {
	if !g.isHeavy(recent) {
		return true
	}
	ok := g.options.Processor.pacer.enter(now, recent, canceled)
	g.recordWait("request", now)
	return ok
}

func (g *Guard) recordWait(what string, since time.Time) {
	g.options.Metrics.turns.WithLabelValues(what).Inc()
	g.options.Metrics.waited.WithLabelValues(what).Add(time.Since(since).Seconds())
}
