package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// predictPrefill predicts the engine time of the prompt's prefill, less what
// the best of the candidates' caches saves. Without the cache a prompt of which
// most is a shared preamble looks long, and is refused though it would be in
// time.
func (m *modelRun) predictPrefill() (expected, spread time.Duration) {
	return m.router.speeds.prefill(max(m.class.prompt-m.cachedTokens(), 1))
}

func (m *modelRun) cachedTokens() int {
	if m.router.opts.Prefixes == nil {
		return 0
	}
	prefixes := m.router.opts.Prefixes(m.class.model, m.req.Prompt)
	a := &attempt{run: m}
	cached := 0
	for _, c := range m.router.opts.Follower.Candidates(a.query(fleet.RolePrefill)) {
		cached = max(cached, schedule.CachedTokens(prefixes, c.CachedPrefixes))
	}
	return cached
}
