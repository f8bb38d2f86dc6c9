package connguard

import "time"

const (
	// maxDelay is how late the processor may learn of what has arrived before requests of
	// connections that use much of it are slowed.
	maxDelay = 5 * time.Millisecond
	// Requests per second: the least, the first and the highest pace.
	minPace   = 10
	firstPace = 1_000
	maxPace   = 1_000_000
	// paceBurst is the time whose requests may begin at once.
	paceBurst = 2 * time.Millisecond
)

// pace is how many requests per second begin of connections that use much processor time. It falls
// while the processor is late, and rises while it isn't and requests wait.
type pace struct {
	perSecond float64
	paidAt    time.Time // when the requests that have begun are within the pace
}

// observe takes in how late the processor was. wanted reports that requests wait.
func (p *pace) observe(delay time.Duration, wanted bool) {
	switch {
	case delay > maxDelay:
		p.perSecond = max(minPace, p.perSecond*0.7)
	case wanted:
		p.perSecond = min(maxPace, p.perSecond*1.05+5)
	}
}

// begin records that a request begins.
func (p *pace) begin(now time.Time) {
	if p.paidAt.Before(now) {
		p.paidAt = now
	}
	p.paidAt = p.paidAt.Add(time.Duration(float64(time.Second) / p.perSecond))
}

// wait returns how long to wait until another request may begin; 0 for not at all.
func (p *pace) wait(now time.Time) time.Duration {
	ahead := p.paidAt.Sub(now)
	if ahead <= paceBurst {
		return 0
	}
	return ahead
}
