package quota

import "time"

// Limit is a team's quota in the whole fleet, in the unit that its requests are
// counted in.
type Limit struct {
	Version   int64 // of the configuration that gave it
	PerSecond float64
	Burst     float64 // saved up at most
	// ExtraPerSecond is given beyond PerSecond.
	ExtraPerSecond float64
	// Debt is by how much keepers may go below nothing together, and Reserve the part
	// of it that small requests may take when nothing is left.
	Debt, Reserve float64
}

// reserveTime is what the reserve takes to be earned back.
const reserveTime = 250 * time.Millisecond

// WithReserve gives a limit with a reserve for small requests.
func (l Limit) WithReserve() Limit {
	l.Reserve = min(l.Debt, l.PerSecond*reserveTime.Seconds())
	return l
}

// Tolerance is by how much a team may use more than its quota in a span of time. The
// zero Tolerance is none.
type Tolerance struct {
	Window  time.Duration
	Overrun float64 // as a share of the quota
	Slack   float64 // in the unit of the quota
}

// The parts of a tolerance. The rest is for keepers that disagree on how many they are.
const (
	// extraShare is given: a limit that is shared out can't be kept exactly, and a
	// request that is turned away below the quota is as wrong as one that runs beyond
	// the tolerance. The middle is as far from both.
	extraShare = 0.5
	// debtShare is for requests that are larger than what is there.
	debtShare = 0.4
)

// Limit gives the limit that keeps to a quota and its tolerance.
func (t Tolerance) Limit(version int64, perSecond, burst float64) Limit {
	l := Limit{Version: version, PerSecond: perSecond, Burst: burst}
	if seconds := t.Window.Seconds(); seconds > 0 {
		whole := t.Overrun*(perSecond*seconds+burst) + t.Slack
		l.ExtraPerSecond, l.Debt = extraShare*whole/seconds, debtShare*whole
	}
	return l
}

// rate is what is earned in a second.
func (l Limit) rate() float64 { return l.PerSecond + l.ExtraPerSecond }
