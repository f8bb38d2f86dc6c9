package quota

import "time"

// Limit is the quota of a team in the whole fleet, in the unit in which its requests are
// counted.
type Limit struct {
	Version   int64 // of the configuration that set it
	PerSecond float64
	Burst     float64 // maximum that accrues while the quota is not used
	// ExtraPerSecond is granted in addition to PerSecond.
	ExtraPerSecond float64
	// Debt is how far the balances of all quota servers together may become negative. Reserve
	// is the part of it that small requests may use when nothing is left.
	Debt, Reserve float64
}

// reserveRefillTime is the time in which the reserve accrues.
const reserveRefillTime = 250 * time.Millisecond

// WithReserve returns the limit with a reserve for small requests.
func (l Limit) WithReserve() Limit {
	l.Reserve = min(l.Debt, l.PerSecond*reserveRefillTime.Seconds())
	return l
}

// Tolerance is how much more than its quota a team may use in a window of time. The zero
// Tolerance allows nothing.
type Tolerance struct {
	Window  time.Duration
	Overrun float64 // as a fraction of the quota
	Slack   float64 // in the unit of the quota
}

// Fractions of a tolerance. The rest covers quota servers that disagree on their number.
const (
	// extraFraction is granted: a quota that is divided can't be enforced exactly, and rejecting
	// a request below the quota is as wrong as running one beyond the tolerance. Half is
	// equally far from both.
	extraFraction = 0.5
	// debtFraction is for requests that cost more than the balance.
	debtFraction = 0.4
)

// Limit returns the limit that enforces a quota within the tolerance.
func (t Tolerance) Limit(version int64, perSecond, burst float64) Limit {
	l := Limit{Version: version, PerSecond: perSecond, Burst: burst}
	if seconds := t.Window.Seconds(); seconds > 0 {
		total := t.Overrun*(perSecond*seconds+burst) + t.Slack
		l.ExtraPerSecond, l.Debt = extraFraction*total/seconds, debtFraction*total
	}
	return l
}

// rate returns what accrues per second.
func (l Limit) rate() float64 { return l.PerSecond + l.ExtraPerSecond }
