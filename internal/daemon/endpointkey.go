package daemon

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// endpointKeyMatches reports whether key is one of the fleet's endpoint keys.
func endpointKeyMatches(b *base, key string) bool {
	tree := b.agent.State().Tree
	if tree == nil {
		return false
	}
	return tree.EndpointKeyMatches(key)
}

// attemptRunning reports whether an attempt of this entry is still running.
func (e *entryRole) attemptRunning(attempt fleet.AttemptID) bool {
	return e.follower.Running(attempt)
}
