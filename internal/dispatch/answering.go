package dispatch

import "time"

const (
	// firstPace is how long one estimated token of an answer takes as long as
	// nothing was measured: engines give one token in 3 ms beside 10 others.
	firstPace = 3 * time.Millisecond
	// paceFade is by how much each answer moves the measured pace. Estimates are
	// right in the median and single ones far off: fifty answers even that out.
	paceFade = 0.02
)

// HaveAnswered takes in that an answer, estimated at some tokens, was generated
// in some time from its first part to its end.
func (b *Book) HaveAnswered(service string, estimate int, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	seen := float64(took) / float64(estimate)
	b.mu.Lock()
	defer b.mu.Unlock()
	pace := b.pace(service)
	b.paces[service] = pace + paceFade*(min(seen, 3*pace)-pace)
}

// AnswerTime is about how long an answer takes that is estimated at some tokens.
func (b *Book) AnswerTime(service string, estimate int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.pace(service) * float64(estimate))
}

// pace is that of a service's answers, ns a token of their estimates. It is
// called with b.mu held.
func (b *Book) pace(service string) float64 {
	if pace, ok := b.paces[service]; ok {
		return pace
	}
	return float64(firstPace)
}
