package schedule

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
)

// roundRobin takes the candidates in turn and looks at nothing else. It is a
// baseline to measure against.
type roundRobin struct {
	turn atomic.Uint64
}

// Choose implements Choice.
func (p *roundRobin) Choose(r Request, candidates []endpoint.Candidate, _ *rand.Rand) (endpoint.Candidate, bool) {
	for range candidates {
		at := p.turn.Add(1) - 1
		c := &candidates[at%uint64(len(candidates))]
		if !avoided(&r, c) {
			return *c, true
		}
	}
	return endpoint.Candidate{}, false
}
