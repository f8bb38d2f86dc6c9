package route

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// policyCache keeps the choices of the decisions in force.
type policyCache struct {
	make func(settings.Decisions) (Policies, error)

	mu   sync.Mutex
	of   settings.Decisions
	have bool
	last Policies
}

func newPolicyCache(m func(settings.Decisions) (Policies, error)) *policyCache {
	return &policyCache{make: m}
}

// get gives the policies for d. A policy may keep state, so it is made anew
// only when the settings name another. When d names one that this build
// doesn't know, the last good ones stay.
func (c *policyCache) get(d settings.Decisions) (Policies, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.have && c.of == d {
		return c.last, true
	}
	made, err := c.make(d)
	if err != nil {
		return c.last, c.have
	}
	c.of, c.last, c.have = d, made, true
	return made, true
}
