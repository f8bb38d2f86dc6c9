package outcome

var verdictNames = [...]string{
	VerdictUnset:    "unset",
	VerdictRun:      "run",
	VerdictInFlight: "in-flight",
	VerdictRecorded: "recorded",
	VerdictUnknown:  "unknown",
	VerdictNotRun:   "not-run",
	VerdictMoved:    "moved",
}

// String names the verdict for logs and metrics.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "invalid"
	}
	return verdictNames[v]
}
