package settings

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Patterns of Operator.Subtrees.
const (
	allSubtrees = "*"
	allTeams    = TeamPrefix + "*"
)

// TeamByKey finds the team that a caller's key names. The key is hashed before
// anything is looked up, so the time taken tells nothing of any key: who
// guesses can't choose the leading bits of a hash.
func (t *Tree) TeamByKey(key string) (Team, bool) {
	name, ok := t.teamByHash(keyhash.Of(key))
	if !ok {
		return Team{}, false
	}
	team := t.Teams[name]
	return team, team.ownsKey(key)
}

// ownsKey compares with each of the team's hashes, whichever matches.
func (t Team) ownsKey(key string) bool {
	owns := false
	for _, hash := range t.KeyHashes {
		owns = hash.Matches(key) || owns
	}
	return owns
}

func (t *Tree) teamByHash(hash keyhash.Hash) (fleet.Team, bool) {
	index := t.teamOf
	if index == nil {
		index = t.keyIndex()
	}
	name, ok := index[hash]
	return name, ok
}

// OperatorByKey finds the operator that a key names, comparing with all.
func (t *Tree) OperatorByKey(key string) (found Operator, ok bool) {
	for _, operator := range t.Fleet.Operators {
		if operator.KeyHash.Matches(key) {
			found, ok = operator, true
		}
	}
	return found, ok
}

// EndpointKeyMatches tells whether key is one that endpoints show.
func (t *Tree) EndpointKeyMatches(key string) bool {
	matches := false
	for _, hash := range t.Fleet.EndpointKeys {
		matches = hash.Matches(key) || matches
	}
	return matches
}

// MayChange tells whether the operator's scope covers a subtree.
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
