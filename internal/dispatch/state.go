package dispatch

import "time"

// state is what one entry knows of one endpoint.
type state struct {
	own    int // exchanges in flight from here
	prompt int // tokens of prompts being read there for this entry
	memory int // tokens held there for this entry
	others float64
	toldAt time.Time // when others was told
	hard   int       // failures in a row that show the endpoint gone
	until  time.Time // passed over until then
	trial  bool      // one exchange tries it after a pass-over
	fullAt time.Time // when it was last without room
	// blockedUntil is when something may be sent to it again.
	blockedUntil time.Time
	// restUntil is until when it wants nothing from this entry, and leavesUntil until when
	// it is known to leave.
	restUntil, leavesUntil time.Time
	// refusedAt is when it last turned an exchange away.
	refusedAt time.Time
	misfits   int     // answers in a row by another incarnation
	faults    float64 // moving share of exchanges that failed, 0 to 1
	usedAt    time.Time

	waited   float64   // newest wait of a prompt there, in times of its own reading
	waitedAt time.Time // when that was seen
}

// The weights of a state.
const (
	// othersLife is the time in which a told load loses half of its weight.
	// Exchanges at plain services last 30 to 60 ms and streams some 300 ms, so
	// that after this long most of what was told has ended.
	othersLife = 400 * time.Millisecond
	// faultShare is the weight of the newest outcome in the share of failures:
	// about the last eight exchanges count.
	faultShare = 0.12
	// firstPass and longestPass bound how long an endpoint is passed over
	// after it showed itself gone; the time doubles at each failed trial.
	firstPass   = 300 * time.Millisecond
	longestPass = 3 * time.Second
	// misfitPass is how long an incarnation is passed over after another one
	// answered at its address. The true one goes on reporting; a dead one is
	// expired after about four heartbeats.
	misfitPass = 4 * time.Second
	// fullLife is how long an endpoint without room is asked after the others.
	// Answers end every 30 to 50 ms at one that is full.
	fullLife = 60 * time.Millisecond
	// refusalLife is how long after its last refusal an endpoint is likely to refuse
	// again: overload lasts some seconds.
	refusalLife = 3 * time.Second
	// waitedLife is the time in which a seen wait loses half of its weight: a
	// burst lasts some seconds, and its end must show soon.
	waitedLife = time.Second
	// idleState is how long the state of an unused endpoint is kept.
	idleState = time.Minute
)

// othersNow is the estimate of others' exchanges there.
func (s *state) othersNow(now time.Time) float64 {
	age := now.Sub(s.toldAt)
	if s.toldAt.IsZero() || age > 4*othersLife {
		return 0
	}
	if age <= 0 {
		return s.others
	}
	return s.others * float64(othersLife) / float64(othersLife+age)
}

// waitNow is the estimate of the wait of a prompt there by what was seen.
func (s *state) waitNow(now time.Time) float64 {
	age := max(0, now.Sub(s.waitedAt))
	if s.waitedAt.IsZero() || age > 4*waitedLife {
		return 0
	}
	return s.waited * float64(waitedLife) / float64(waitedLife+age)
}

// open tells whether the endpoint may get work now.
func (s *state) open(now time.Time) bool {
	if now.Before(s.until) {
		return false
	}
	return s.hard == 0 || !s.trial
}
