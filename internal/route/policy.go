package route

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// policyCache keeps the policies for the decisions in force.
type policyCache struct {
	build func(settings.Decisions) (Policies, error)

	mu        sync.Mutex
	decisions settings.Decisions
	loaded    bool
	policies  Policies
}

func newPolicyCache(build func(settings.Decisions) (Policies, error)) *policyCache {
	return &policyCache{build: build}
}

// get returns the policies for d. Since policies may have state, they are built again
// only when the settings name others. If d names one that this build doesn't know,
// the previous policies stay in force.
func (c *policyCache) get(d settings.Decisions) (Policies, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && c.decisions == d {
		return c.policies, true
	}
	made, err := c.build(d)
	if err != nil {
		return c.policies, c.loaded
	}
	c.decisions, c.policies, c.loaded = d, made, true
	return made, true
}
