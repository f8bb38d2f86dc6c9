package route

import "time"

// Bounds limit what one request may use at an entry.
type Bounds struct {
	Attempts        int           // tries of one request, the first included
	Patience        time.Duration // when neither caller nor settings say
	LongestPatience time.Duration // caps the caller's own deadline
	StreamTime      time.Duration // longest life of a request
	OutputTokens    int           // when the caller names no max_tokens
	JoinBytes       int           // output text kept for repeats that join
	CallAnswerBytes int64         // longest answer of a plain service
	CallTime        time.Duration // when the service's settings give none
	Generations     int           // runs that one key may see, one after another
	LedgerTime      time.Duration // longest wait for a claim
	FinishTime      time.Duration // longest wait for a finish before the answer goes out
	Running         int           // requests in flight at this entry
}

// DefaultBounds are used for the fields left zero.
var DefaultBounds = Bounds{
	Attempts:        4,
	Patience:        10 * time.Second,
	LongestPatience: 10 * time.Minute,
	StreamTime:      15 * time.Minute,
	OutputTokens:    256,
	JoinBytes:       1 << 20,
	CallAnswerBytes: 8 << 20,
	CallTime:        30 * time.Second,
	Generations:     8,
	LedgerTime:      time.Second,
	FinishTime:      200 * time.Millisecond,
	Running:         10000,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	b.Attempts = orInt(b.Attempts, d.Attempts)
	b.Patience = orTime(b.Patience, d.Patience)
	b.LongestPatience = orTime(b.LongestPatience, d.LongestPatience)
	b.StreamTime = orTime(b.StreamTime, d.StreamTime)
	b.OutputTokens = orInt(b.OutputTokens, d.OutputTokens)
	b.JoinBytes = orInt(b.JoinBytes, d.JoinBytes)
	if b.CallAnswerBytes <= 0 {
		b.CallAnswerBytes = d.CallAnswerBytes
	}
	b.CallTime = orTime(b.CallTime, d.CallTime)
	b.Generations = orInt(b.Generations, d.Generations)
	b.LedgerTime = orTime(b.LedgerTime, d.LedgerTime)
	b.FinishTime = orTime(b.FinishTime, d.FinishTime)
	b.Running = orInt(b.Running, d.Running)
	return b
}

func orInt(v, fallback int) int {
	if v <= 0 {
		return fallback
	}
	return v
}

func orTime(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
