package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The rule that a limit stands for: in each window of time an endpoint gets no more than
// one and a half times what it takes, and a slack.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	// longestUse is how much later than it was given leave is used.
	longestUse = 1540 * time.Millisecond
)

var started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member is a control instance with what may happen to it.
type member struct {
	address string
	ledger  *Ledger
	view    []string
	frozen  time.Duration // until when it stands still
}

// group is a control group whose members learn late of each other.
type group struct {
	random  *rand.Rand
	members []*member
	view    []string // the true one
	named   int
	changed time.Duration
}

func newGroup(random *rand.Rand, n int) *group {
	g := &group{random: random}
	for range n {
		g.add(-time.Hour)
	}
	for _, m := range g.members {
		m.view = g.view
	}
	return g
}

func (g *group) add(began time.Duration) {
	g.named++
	m := &member{address: fmt.Sprint("member", g.named), ledger: NewLedger(started.Add(began))}
	g.members = append(g.members, m)
	g.view = append(slices.Clone(g.view), m.address)
	m.view = g.view
}

// harm lets one thing happen. Another member is replaced only when all know of the last.
func (g *group) harm(now time.Duration) {
	m := g.members[g.random.IntN(len(g.members))]
	switch g.random.IntN(40) {
	case 0, 1:
		m.ledger = NewLedger(started.Add(now))
	case 2, 3:
		m.frozen = now + time.Duration(g.random.IntN(6_000))*time.Millisecond
	case 4:
		if now-g.changed > 10*time.Second {
			g.replace(now, m)
		}
	}
	if now-g.changed > 1200*time.Millisecond {
		for _, other := range g.members {
			other.view = g.view
		}
	}
}

// replace takes a member out of the group, and a new one in. Others learn of it later, and
// some entries still ask the old one.
func (g *group) replace(now time.Duration, gone *member) {
	g.changed = now
	g.view = slices.DeleteFunc(slices.Clone(g.view), func(a string) bool { return a == gone.address })
	g.add(now)
}

// ask asks the members that an entry takes for keepers, by the view of any of them.
func (g *group) ask(now time.Duration, e Endpoint, heard Heard) bool {
	view := g.members[g.random.IntN(len(g.members))].view
	for _, address := range Keepers(view, e) {
		i := slices.IndexFunc(g.members, func(m *member) bool { return m.address == address })
		m := g.members[i]
		part, ok := PartOf(address, m.view, e)
		if now < m.frozen || !ok {
			continue
		}
		if m.ledger.Take(started.Add(now), e, heard, part).Granted {
			return true
		}
	}
	return false
}

// press has entries ask all the time, and use what they get at once or late.
func press(random *rand.Rand, perSecond float64) []time.Duration {
	g := newGroup(random, 3+random.IntN(7))
	e := Endpoint{ID: fmt.Sprint("e", random.IntN(100))}
	heard := Heard{Limited: true, PerSecond: perSecond, At: started}
	var arrivals []time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += time.Duration(random.IntN(60)) * time.Millisecond {
		g.harm(now)
		if random.IntN(2) == 0 && now%(9*time.Second) < 5*time.Second {
			continue // nobody has a request, and leave is saved up
		}
		if g.ask(now, e, heard) {
			arrivals = append(arrivals, now+time.Duration(random.Int64N(int64(longestUse))))
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// mostIn is the largest number of arrivals in any window.
func mostIn(arrivals []time.Duration) int {
	most, first := 0, 0
	for n, at := range arrivals {
		for arrivals[first] < at-boundWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Guards against a limit that is used more than once over when keepers restart, freeze,
// are replaced, or don't agree on who they are.
func TestLimitHoldsWhateverFails(t *testing.T) {
	fullest := 0.0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		perSecond := []float64{0, 0.05, 0.3, 0.9, 1.9, 4.1, 12, 40}[seed%8] * (0.8 + 0.4*random.Float64())
		bound := boundFactor*max(perSecond, 0)*boundWindow.Seconds() + boundSlack
		got := mostIn(press(random, perSecond))
		fullest = max(fullest, float64(got)/bound)
		assert.Check(t, float64(got) <= bound, "seed %d: %d arrivals at %.2f a second, %.1f are allowed", seed, got, perSecond, bound)
	}
	t.Logf("%.2f of the bound in the fullest window", fullest)
}

// Guards against a limit of which most is never used.
func TestWholeLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.9, 12} {
		g := newGroup(rand.New(rand.NewPCG(1, 1)), 5)
		heard := Heard{Limited: true, PerSecond: perSecond, At: started}
		granted := 0
		for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
			if g.ask(now, Endpoint{ID: "e"}, heard) {
				granted++
			}
		}
		want := 60 * perSecond
		assert.Check(t, float64(granted) > 0.9*want && float64(granted) <= want+mostKeepers*saved(perSecond), "%d of %.0f", granted, want)
	}
}
