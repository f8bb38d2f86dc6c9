package schedule

import (
	"math/rand/v2"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
)

// leastReportedLoad picks the candidate with the fewest requests per slot and
// ignores caches, links and predicted times. It is a baseline for comparison.
type leastReportedLoad struct{}

// Choose implements ChoicePolicy.
func (leastReportedLoad) Choose(r Request, candidates []endpoint.Candidate, _ *rand.Rand) (endpoint.Candidate, bool) {
	var best *endpoint.Candidate
	for n := range candidates {
		c := &candidates[n]
		if avoided(&r, c) {
			continue
		}
		if best == nil || load(c)*max(1, best.Slots) < load(best)*max(1, c.Slots) {
			best = c
		}
	}
	if best == nil {
		return endpoint.Candidate{}, false
	}
	return *best, true
}

func load(c *endpoint.Candidate) int { return c.Granted + c.Queued }
