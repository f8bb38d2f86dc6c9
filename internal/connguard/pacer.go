package connguard

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// maxPacerWait is how long a request waits at most to begin. It has not run when it is refused.
	maxPacerWait = time.Second
	// probeInterval is the time between two looks at how late the processor is.
	probeInterval = 10 * time.Millisecond
)

// Pacer lets requests of connections that use much processor time begin at the pace that leaves the
// processor in time for others. It is safe for concurrent use.
type Pacer struct {
	probe delayProbe

	mu       sync.Mutex // guards the fields below
	pace     pace
	waiting  turnQueue
	timer    *time.Timer
	probing  bool
	wantedAt time.Time // when a request was last there
}

// delayProbe measures how late the processor learns of what has arrived.
type delayProbe interface {
	// start begins a measurement, whose result goes to a function.
	start(done func(delay time.Duration))
}

// NewPacer returns a Pacer.
func NewPacer() *Pacer { return newPacer(&pipeProbe{}) }

func newPacer(probe delayProbe) *Pacer {
	return &Pacer{probe: probe, pace: pace{perSecond: firstPace}}
}

// enter waits until a request may begin of a connection whose recent work is known. It returns false if
// canceled is closed before, or the wait takes too long.
func (p *Pacer) enter(now time.Time, recent Work, canceled <-chan struct{}) bool {
	own := newTurn(now, recent)
	p.mu.Lock()
	p.wantedAt = now
	heap.Push(&p.waiting, own)
	p.advance(now)
	p.startProbe()
	p.mu.Unlock()
	select {
	case <-own.ready:
		return true
	default:
	}
	limit := time.NewTimer(maxPacerWait)
	defer limit.Stop()
	select {
	case <-own.ready:
		return true
	case <-canceled:
	case <-limit.C:
	}
	return !p.cancel(own)
}

// cancel ends a wait; it returns false if the request may just begin.
func (p *Pacer) cancel(own *turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own.index < 0 {
		return false
	}
	heap.Remove(&p.waiting, own.index)
	return true
}

// advance lets requests begin that may, and otherwise comes back when they may.
func (p *Pacer) advance(now time.Time) {
	for len(p.waiting) > 0 {
		if wait := p.pace.wait(now); wait > 0 {
			p.comeBack(wait)
			return
		}
		p.pace.begin(now)
		close(heap.Pop(&p.waiting).(*turn).ready)
	}
}

func (p *Pacer) comeBack(after time.Duration) {
	if p.timer == nil {
		p.timer = time.AfterFunc(after, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.advance(time.Now())
		})
		return
	}
	p.timer.Reset(after)
}

// startProbe measures the processor's delay for as long as there are requests to pace.
func (p *Pacer) startProbe() {
	if !p.probing {
		p.probing = true
		p.probe.start(p.observe)
	}
}

func (p *Pacer) observe(delay time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pace.observe(delay, len(p.waiting) > 0)
	p.advance(now)
	p.probing = now.Sub(p.wantedAt) < 2*probeInterval
	if p.probing {
		time.AfterFunc(probeInterval, func() { p.probe.start(p.observe) })
	}
}
