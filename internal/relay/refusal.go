package relay

import "time"

// Verdict tells a caller what became of a request that got no answer.
type Verdict int

// The verdicts.
const (
	// VerdictNotRun: it has not run and never will; it may come again.
	VerdictNotRun Verdict = iota
	// VerdictUnknown: it may have run.
	VerdictUnknown
	// VerdictTimeout: it may have run, and the time is up.
	VerdictTimeout
	// VerdictNoRoute: no route leads to where it wants.
	VerdictNoRoute
	// VerdictMalformed: it can't be passed on as it is.
	VerdictMalformed
	// VerdictTooLarge: its body is over the limit.
	VerdictTooLarge
	// VerdictNoKey: it shows no key that a team holds.
	VerdictNoKey
	// VerdictOverQuota: its team's quota is spent. It has not run and never will; it
	// may come again.
	VerdictOverQuota
)

// String gives the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"not-run", "unknown", "timeout", "no-route", "malformed", "too-large", "no-key", "over-quota"}[v]
}

// Refusal is a final answer of the router's own.
type Refusal struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // when to come again; 0 where that is of no use
}
