package reachability

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
)

const (
	// minLostLinks is the number of links that must be lost, with nothing heard over any
	// other since, for the process to count as cut off.
	minLostLinks = 2
	// unusedTimeout is how long an unused link is remembered.
	unusedTimeout = time.Minute
)

// Options configures a Tracker.
type Options struct {
	Part    logging.Part
	Metrics prometheus.Registerer // nil: no metrics
}

// Tracker holds the links of one process.
type Tracker struct {
	part    logging.Part
	metrics *metrics

	heardNs atomic.Int64 // when bytes last arrived over any link, Unix ns
	// troubled is set while a link is lost or the process cut off; it spares Link.Heard the
	// lock otherwise.
	troubled atomic.Bool

	mu          sync.Mutex // guards the fields below and those of each Link
	onChange    func()     // nil for none
	links       map[string]*Link
	lost        int            // number of lost links
	unheard     map[*Link]bool // lost since heardNs
	cutOffSince time.Time      // zero if it isn't cut off
}

// New returns an empty Tracker.
func New(o Options) *Tracker {
	return &Tracker{part: o.Part, metrics: newMetrics(o.Metrics), links: map[string]*Link{}, unheard: map[*Link]bool{}}
}

// OnChange has a function called, in a goroutine of its own, after open connections may have
// become useless or a better way has opened: when a link is lost, other than by a refusal, or
// works again. It replaces the function of an earlier call.
func (t *Tracker) OnChange(call func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = call
}

// Link returns the link to an address (host:port).
func (t *Tracker) Link(address string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[address]
	if l == nil {
		l = &Link{tracker: t, address: address}
		t.links[address] = l
	}
	l.usedAt = time.Now()
	return l
}

// CutOff reports whether the process reaches no endpoint: several links are lost, and nothing
// was heard over any other since the first of them.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCutOff()
}

// Unanswered reports whether new connections to an address get no answer.
func (t *Tracker) Unanswered(address string) bool { return t.Link(address).Loss() == Unanswered }

// HeardSince reports whether bytes arrived over any link, or a connection opened, since a time.
func (t *Tracker) HeardSince(since time.Time) bool {
	return t.heardNs.Load() >= since.UnixNano()
}

// isCutOff is called with t.mu held.
func (t *Tracker) isCutOff() bool {
	return !t.cutOffSince.IsZero() && t.heardNs.Load() < t.cutOffSince.UnixNano()
}

// Sweep forgets links that were not used for a while.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, l := range t.links {
		if now.Sub(l.usedAt) > unusedTimeout {
			t.setLoss(l, now, NotLost)
			delete(t.links, address)
		}
	}
}

// setLoss changes the state of a link. It is called with t.mu held.
func (t *Tracker) setLoss(l *Link, now time.Time, loss Loss) {
	before := l.loss
	if loss == before {
		return
	}
	l.loss = loss
	if loss != Refused && t.onChange != nil {
		go t.onChange()
	}
	if loss == NotLost {
		delete(t.unheard, l)
		t.countLost(-1)
		t.part.Info("Link to an endpoint works again.", "address", l.address, "lost_ms", now.Sub(l.lostAt).Milliseconds(), "was", before)
		return
	}
	l.lostAt = now
	if before == NotLost {
		t.countLost(1)
		t.metrics.losses.WithLabelValues(loss.String()).Inc()
		t.part.Info("Link to an endpoint lost.", "address", l.address, "how", loss, "heard_ms", l.msSinceHeard(now))
	}
}

// countLost changes the number of lost links. It is called with t.mu held.
func (t *Tracker) countLost(n int) {
	t.lost += n
	t.metrics.lost.Set(float64(t.lost))
	t.updateTroubled()
}

func (t *Tracker) updateTroubled() { t.troubled.Store(t.lost > 0 || !t.cutOffSince.IsZero()) }

// recordUnheard notes a link that was found lost, and decides whether all are. It is called
// with t.mu held.
func (t *Tracker) recordUnheard(l *Link, now time.Time) {
	for other := range t.unheard {
		if other.lostAt.UnixNano() <= t.heardNs.Load() {
			delete(t.unheard, other)
		}
	}
	if l.lostAt.UnixNano() <= t.heardNs.Load() {
		return
	}
	t.unheard[l] = true
	if len(t.unheard) < minLostLinks || t.isCutOff() {
		return
	}
	t.cutOffSince = now
	for other := range t.unheard {
		if other.lostAt.Before(t.cutOffSince) {
			t.cutOffSince = other.lostAt
		}
	}
	t.updateTroubled()
	t.metrics.cutOff.Set(1)
	t.metrics.cutOffs.Inc()
	t.part.Warn("Cut off from all endpoints.", "lost", len(t.unheard))
}

// recordHeard ends the state of being cut off. It is called with t.mu held.
func (t *Tracker) recordHeard(now time.Time) {
	if t.cutOffSince.IsZero() {
		return
	}
	t.part.Info("An endpoint is reached again.", "cut_off_ms", now.Sub(t.cutOffSince).Milliseconds())
	t.cutOffSince = time.Time{}
	t.updateTroubled()
	t.metrics.cutOff.Set(0)
}
