package relay

import "time"

// Verdict tells a caller what became of a request that got no answer.
type Verdict int

// The verdicts.
const (
	// VerdictNotRun: it has not run and never will; the caller may repeat it.
	VerdictNotRun Verdict = iota
	// VerdictUnknown: it may have run.
	VerdictUnknown
	// VerdictTimeout: it may have run, and the time is up.
	VerdictTimeout
	// VerdictNoRoute: no route matches it.
	VerdictNoRoute
	// VerdictMalformed: it can't be forwarded as it is.
	VerdictMalformed
	// VerdictTooLarge: its body is over the limit.
	VerdictTooLarge
	// VerdictNoKey: it shows no key that a team has.
	VerdictNoKey
	// VerdictOverQuota: its team's quota is spent. It has not run and never will; the
	// caller may repeat it.
	VerdictOverQuota
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"not-run", "unknown", "timeout", "no-route", "malformed", "too-large", "no-key", "over-quota"}[v]
}

// Refusal is a final answer made by the router itself.
type Refusal struct {
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // when to repeat the request; 0 where that is useless
}
