package report

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/load"
)

// group is the runs of one variant of one experiment.
type group struct {
	experiment string
	variant    string
	results    []load.Result
}

// groupsOf sorts results into groups, by experiment and then variant.
func groupsOf(results []load.Result) []group {
	var groups []group
	index := map[[2]string]int{}
	for _, r := range results {
		key := [2]string{r.Experiment, r.Variant}
		at, ok := index[key]
		if !ok {
			at = len(groups)
			index[key] = at
			groups = append(groups, group{experiment: r.Experiment, variant: r.Variant})
		}
		groups[at].results = append(groups[at].results, r)
	}
	sort.SliceStable(groups, func(a, b int) bool {
		if groups[a].experiment != groups[b].experiment {
			return groups[a].experiment < groups[b].experiment
		}
		return groups[a].variant < groups[b].variant
	})
	return groups
}

// spread is the middle and the ends of a few figures.
type spread struct {
	median, least, most float64
	count               int
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return spread{median: median, least: sorted[0], most: sorted[len(sorted)-1], count: len(sorted)}
}

func (g group) spread(m metric) spread {
	var values []float64
	for _, r := range g.results {
		if v, ok := m.value(r); ok {
			values = append(values, v)
		}
	}
	return spreadOf(values)
}

// differences gives a metric of g less that of base for each pair that both
// have run. Interleaved pairs share what else the machine did, so that their
// differences spread less than the figures.
func (g group) differences(base group, m metric) spread {
	byPair := map[int]load.Result{}
	for _, r := range base.results {
		byPair[r.Pair] = r
	}
	var values []float64
	for _, r := range g.results {
		other, ok := byPair[r.Pair]
		if !ok {
			continue
		}
		mine, has := m.value(r)
		theirs, hasToo := m.value(other)
		if has && hasToo {
			values = append(values, mine-theirs)
		}
	}
	return spreadOf(values)
}
