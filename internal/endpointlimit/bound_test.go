package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The bound that a limit guarantees: in each window of time an endpoint gets no more
// requests than boundFactor times its limit, plus boundSlack.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	// maxUseDelay is the maximum delay between the grant of a permit and its use.
	maxUseDelay = 1540 * time.Millisecond
)

var started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member is a control instance that can fail.
type member struct {
	address string
	ledger  *Ledger
	view    []string
	frozen  time.Duration // end of its freeze
}

// group is a control group whose members learn of changes to the group with a delay.
type group struct {
	random   *rand.Rand
	members  []*member
	view     []string // addresses of the current members
	lastName int      // number in the newest member's address
	changed  time.Duration
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

func (g *group) add(start time.Duration) {
	g.lastName++
	m := &member{address: fmt.Sprint("member", g.lastName), ledger: NewLedger(started.Add(start))}
	g.members = append(g.members, m)
	g.view = append(slices.Clone(g.view), m.address)
	m.view = g.view
}

// injectFault makes at most one member restart, freeze or be replaced. A further member is
// replaced only after all have learned of the last replacement.
func (g *group) injectFault(now time.Duration) {
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

// replace replaces a member of the group by a new one. Others learn of it later, and some
// entries still send requests to the old one.
func (g *group) replace(now time.Duration, removed *member) {
	g.changed = now
	g.view = slices.DeleteFunc(slices.Clone(g.view), func(a string) bool { return a == removed.address })
	g.add(now)
}

// requestPermit requests a permit from the limit servers by the view of a random member, and
// reports whether one of them granted it.
func (g *group) requestPermit(now time.Duration, e Endpoint, known KnownLimit) bool {
	view := g.members[g.random.IntN(len(g.members))].view
	for _, address := range LimitServers(view, e) {
		i := slices.IndexFunc(g.members, func(m *member) bool { return m.address == address })
		m := g.members[i]
		share, ok := ShareOf(address, m.view, e)
		if now < m.frozen || !ok {
			continue
		}
		if m.ledger.Take(started.Add(now), e, known, share).Granted {
			return true
		}
	}
	return false
}

// simulate requests permits for 40 s while members fail, and returns the times at which the
// requests arrive at the endpoint: permits are used at once or late.
func simulate(random *rand.Rand, perSecond float64) []time.Duration {
	g := newGroup(random, 3+random.IntN(7))
	e := Endpoint{ID: fmt.Sprint("e", random.IntN(100))}
	known := KnownLimit{Limited: true, PerSecond: perSecond, AsOf: started}
	var arrivals []time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += time.Duration(random.IntN(60)) * time.Millisecond {
		g.injectFault(now)
		if random.IntN(2) == 0 && now%(9*time.Second) < 5*time.Second {
			continue // no entry has a request, and permits are saved up
		}
		if g.requestPermit(now, e, known) {
			arrivals = append(arrivals, now+time.Duration(random.Int64N(int64(maxUseDelay))))
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// maxInWindow returns the maximum number of arrivals in any window.
func maxInWindow(arrivals []time.Duration) int {
	most, first := 0, 0
	for n, at := range arrivals {
		for arrivals[first] < at-boundWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// Guards against a limit that is exceeded by a multiple when limit servers restart, freeze,
// are replaced, or disagree on which members they are.
func TestLimitHoldsUnderFaults(t *testing.T) {
	fullest := 0.0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		perSecond := []float64{0, 0.05, 0.3, 0.9, 1.9, 4.1, 12, 40}[seed%8] * (0.8 + 0.4*random.Float64())
		bound := boundFactor*max(perSecond, 0)*boundWindow.Seconds() + boundSlack
		got := maxInWindow(simulate(random, perSecond))
		fullest = max(fullest, float64(got)/bound)
		assert.Check(t, float64(got) <= bound, "seed %d: %d arrivals at %.2f a second, %.1f are allowed", seed, got, perSecond, bound)
	}
	t.Logf("%.2f of the bound in the fullest window", fullest)
}

// Guards against a limit that is largely left unused.
func TestWholeLimitIsUsed(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.9, 12} {
		g := newGroup(rand.New(rand.NewPCG(1, 1)), 5)
		known := KnownLimit{Limited: true, PerSecond: perSecond, AsOf: started}
		granted := 0
		for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
			if g.requestPermit(now, Endpoint{ID: "e"}, known) {
				granted++
			}
		}
		want := 60 * perSecond
		assert.Check(t, float64(granted) > 0.9*want && float64(granted) <= want+maxLimitServers*burstSize(perSecond), "%d of %.0f", granted, want)
	}
}
