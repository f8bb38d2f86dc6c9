package routetable

import (
	"math"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Team is a group of callers who share keys, a priority and a quota.
type Team struct {
	Name string
	Keys []keyhash.Hash
	// Priority replaces the priority of the route; nil: the route's applies.
	Priority *int
	Quota    Quota
	// Source is the text from which the team was decoded; empty if the document keeps none.
	Source string
}

// Unit is what a quota counts.
type Unit int

// Units of quotas.
const (
	UnitRequest Unit = iota
	UnitToken        // prompt and maximum output of a model request
)

// Quota limits what a team may use of the fleet. The zero Quota means no limit.
type Quota struct {
	Unit      Unit
	PerSecond float64 // 0 for no limit
	Burst     float64 // maximum that accrues while the quota is not used
	// DefaultTokens is the cost of a request without a stated size, if tokens are counted.
	DefaultTokens float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the cost of a request in the unit of the quota. tokens is the size of a model
// request; sized is false if the request states none.
func (q Quota) Cost(tokens int, sized bool) float64 {
	switch {
	case q.Unit == UnitRequest:
		return 1
	case sized:
		return float64(tokens)
	}
	return q.DefaultTokens
}

func (t *Team) check() error {
	if t.Name == "" {
		return trace.BadParameter("a team has no name")
	}
	for _, value := range []float64{t.Quota.PerSecond, t.Quota.Burst, t.Quota.DefaultTokens} {
		if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
			return trace.BadParameter("team %q has a quota of %v", t.Name, value)
		}
	}
	return nil
}

// emptyKey is the hash of the empty key.
var emptyKey = keyhash.Of("")

// checkTeams rejects teams that can't be told apart. Errors name teams, never a key or its hash:
// they go to logs and to the sender of the document.
func checkTeams(teams []Team) error {
	names := make(map[string]bool, len(teams))
	owners := map[keyhash.Hash]string{}
	for i := range teams {
		t := &teams[i]
		if err := t.check(); err != nil {
			return err
		}
		if names[t.Name] {
			return trace.BadParameter("two teams have the name %q", t.Name)
		}
		names[t.Name] = true
		for _, key := range t.Keys {
			if key == emptyKey {
				return trace.BadParameter("team %q has an empty key", t.Name)
			}
			if owner, taken := owners[key]; taken && owner != t.Name {
				return trace.BadParameter("teams %q and %q share a key", owner, t.Name)
			}
			owners[key] = t.Name
		}
	}
	return nil
}
