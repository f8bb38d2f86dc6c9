package fleetreport

import (
	"slices"
	"time"
)

const (
	// minStep is the shortest time between two points of a series.
	minStep = time.Second
	// maxPoints is the largest number of points of a series.
	maxPoints = 300
	// maxReasons is the number of reasons that have a series of their own.
	maxReasons = 6
	// otherReasons is the name of the series of all others.
	otherReasons = "others"
)

// series is a figure over time, in steps of the same length from the report's start.
type series struct {
	name   string
	points []float64
}

// step returns the time between two points.
func (r *Report) step() time.Duration {
	step := r.End.Sub(r.Start) / maxPoints
	return max(minStep, step.Truncate(minStep)+minStep)
}

func (r *Report) stepOf(at time.Time) int { return int(at.Sub(r.Start) / r.step()) }

// rates returns how many exchanges ended each second, by name; those without a name are left out.
func (r *Report) rates(names []string, nameOf func(end) (name string, ok bool)) []series {
	list := make([]series, len(names))
	for n, name := range names {
		list[n] = series{name: name, points: make([]float64, r.stepOf(r.End)+1)}
	}
	for _, e := range r.ends {
		if name, ok := nameOf(e.end); ok {
			list[slices.Index(names, name)].points[r.stepOf(e.at)] += 1 / r.step().Seconds()
		}
	}
	return list
}

// load returns how many exchanges ended each second, by the way they did.
func (r *Report) load() []series {
	var names []string
	for kind := range endKinds {
		names = append(names, kind.String())
	}
	return r.rates(names, func(e end) (string, bool) { return e.kind.String(), true })
}

// refusals returns how many exchanges were refused each second, by reason.
func (r *Report) refusals() []series {
	var names []string
	for _, c := range r.Ends() {
		if c.Kind == endRefused.String() && len(names) < maxReasons {
			names = append(names, c.Reason)
		}
	}
	named := slices.Clone(names)
	return r.rates(append(names, otherReasons), func(e end) (string, bool) {
		if slices.Contains(named, e.reason) {
			return e.reason, e.kind == endRefused
		}
		return otherReasons, e.kind == endRefused
	})
}

// upToDate returns how many processes hold the newest configuration that any has taken, and how many
// hold an older one.
func (r *Report) upToDate() []series {
	steps := r.stepOf(r.End) + 1
	newest, older := series{name: "the newest", points: make([]float64, steps)}, series{name: "an older one", points: make([]float64, steps)}
	changes, held := r.sortedChanges(), map[string]uint64{}
	for step := range steps {
		for len(changes) > 0 && r.stepOf(changes[0].at) <= step {
			held[changes[0].process] = changes[0].version
			changes = changes[1:]
		}
		newest.points[step], older.points[step] = countNewest(held)
	}
	return []series{newest, older}
}

func countNewest(held map[string]uint64) (newest, older float64) {
	version := newestOf(held)
	for _, v := range held {
		if v == version {
			newest++
		} else {
			older++
		}
	}
	return newest, older
}
