package settings

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Patterns in Operator.Subtrees that match several subtrees.
const (
	allSubtrees = "*"
	allTeams    = TeamPrefix + "*"
)

// TeamByKey returns the team that a caller's key belongs to. The key is hashed
// before the lookup, so the response time reveals nothing about valid keys: an
// attacker can't choose the leading bits of a hash.
func (t *Tree) TeamByKey(key string) (Team, bool) {
	name, ok := t.teamByHash(keyhash.Of(key))
	if !ok {
		return Team{}, false
	}
	team := t.Teams[name]
	return team, team.ownsKey(key)
}

// ownsKey reports whether the key is the team's. It always compares all of the
// team's hashes.
func (t Team) ownsKey(key string) bool {
	owns := false
	for _, hash := range t.KeyHashes {
		owns = hash.Matches(key) || owns
	}
	return owns
}

func (t *Tree) teamByHash(hash keyhash.Hash) (fleet.Team, bool) {
	index := t.teamByKeyHash
	if index == nil {
		index = t.copyKeyIndex()
	}
	name, ok := index[hash]
	return name, ok
}

// OperatorByKey returns the operator that a key belongs to. It always compares
// the hashes of all operators.
func (t *Tree) OperatorByKey(key string) (found Operator, ok bool) {
	for _, operator := range t.Fleet.Operators {
		if operator.KeyHash.Matches(key) {
			found, ok = operator, true
		}
	}
	return found, ok
}

// EndpointKeyMatches reports whether key is a valid endpoint key.
func (t *Tree) EndpointKeyMatches(key string) bool {
	matches := false
	for _, hash := range t.Fleet.EndpointKeys {
		matches = hash.Matches(key) || matches
	}
	return matches
}

// MayChange reports whether the operator may change a subtree.
func (o Operator) MayChange(subtree string) bool {
	for _, pattern := range o.Subtrees {
		switch {
		case pattern == allSubtrees, pattern == subtree:
			return true
		case pattern == allTeams && strings.HasPrefix(subtree, TeamPrefix):
			return true
		}
	}
	return false
}
