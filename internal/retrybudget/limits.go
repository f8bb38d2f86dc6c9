package retrybudget

import "time"

// Limits is the bound for the whole fleet, for each service.
type Limits struct {
	Ratio  float64       // extra arrivals allowed per request
	Slack  float64       // extra arrivals allowed in addition
	Window time.Duration // period over which requests and arrivals are counted
}

// poolShare is the share of the slack that is pooled at the control instances (package
// retrypool). The entries divide the rest among themselves: they need no answer to use it,
// and retries go on while no control instance answers.
const poolShare = 0.5

// PoolGrantTTL is how long after its grant a retry from the pool may be sent.
const PoolGrantTTL = 1500 * time.Millisecond

// ForEntries returns the part of the limits that entries share without the pool.
func (l Limits) ForEntries() Limits {
	l.Slack *= 1 - poolShare
	return l
}

// ForPool returns the part of the limits that the pool grants. It grants no more in any
// window and PoolGrantTTL together, since that is when these retries may arrive.
func (l Limits) ForPool() Limits {
	return Limits{Slack: poolShare * l.Slack, Window: l.Window + PoolGrantTTL}
}
