package fleetreport

import (
	"cmp"
	"slices"
)

// Count is how many exchanges ended in one way.
type Count struct {
	Kind, Reason string
	Count        int
}

// Ends counts the ends of exchanges by kind and reason, the most frequent first.
func (r *Report) Ends() []Count {
	counts := map[Count]int{}
	for _, e := range r.ends {
		counts[Count{Kind: e.kind.String(), Reason: e.reason}]++
	}
	list := make([]Count, 0, len(counts))
	for key, count := range counts {
		key.Count = count
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// TeamCount is how the exchanges of a team on a route ended.
type TeamCount struct {
	Team, Route                  string
	Answered, Refused, BrokenOff int
}

// ByTeam counts the ends of exchanges by team and route.
func (r *Report) ByTeam() []TeamCount {
	type key struct{ team, route string }
	counts := map[key]*[endKinds]int{}
	for _, e := range r.ends {
		k := key{e.team, e.route}
		if counts[k] == nil {
			counts[k] = &[endKinds]int{}
		}
		counts[k][e.kind]++
	}
	var list []TeamCount
	for k, c := range counts {
		list = append(list, TeamCount{Team: k.team, Route: k.route, Answered: c[endAnswered], Refused: c[endRefused], BrokenOff: c[endBrokenOff]})
	}
	slices.SortFunc(list, func(a, b TeamCount) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Route, b.Route))
	})
	return list
}
