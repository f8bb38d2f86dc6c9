package schedule

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
)

// roundRobin picks the candidates in turn and ignores everything else. It is a
// baseline for comparison.
type roundRobin struct {
	next atomic.Uint64
}

// Choose implements ChoicePolicy.
func (p *roundRobin) Choose(r Request, candidates []endpoint.Candidate, _ *rand.Rand) (endpoint.Candidate, bool) {
	for range candidates {
		at := p.next.Add(1) - 1
		c := &candidates[at%uint64(len(candidates))]
		if !avoided(&r, c) {
			return *c, true
		}
	}
	return endpoint.Candidate{}, false
}
