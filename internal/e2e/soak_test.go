package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// Environment variables of the soak.
const (
	soakLengthVariable = "HYSSOPSAIL_SOAK" // how long faults are injected, such as "10m"
	soakSeedVariable   = "HYSSOPSAIL_SOAK_SEED"
)

const (
	defaultSoakLength  = 14 * time.Second // the length in CI
	defaultSoakSeed    = 1
	soakCallers        = 10
	soakReleaseTimeout = 15 * time.Second // for endpoints to hold no attempt after the load
)

// soakTeam is a team of the soak. Its requests may run only in zone home, except
// while a change permits the other zone too.
type soakTeam struct {
	name    string
	key     string
	home    string
	version uint64
	mu      sync.Mutex
	widened []timeSpan
}

// timeSpan is a period in Unix ms in which a team may run in any zone; until is 0
// while it lasts.
type timeSpan struct{ from, until int64 }

func (s *soakTeam) permits(zone fleet.AvailabilityZone, at int64) bool {
	if string(zone) == s.home {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.widened {
		if at >= w.from && (w.until == 0 || at <= w.until) {
			return true
		}
	}
	return false
}

// soakEndpoint is an endpoint that is restarted with the same ID and address.
type soakEndpoint struct {
	id      string
	zone    string
	role    fleet.EndpointRole
	address string
	current *emulatedEndpoint
}

// soak is one soak run: a fleet, its load, its faults and the record of callers.
type soak struct {
	t         *testing.T
	fleet     *testFleet
	emulated  *endpointSet
	endpoints []*soakEndpoint
	teams     []*soakTeam
	seed      uint64
	random    *rand.Rand // of the faults
	log       soakLog
	changes   int
}

// Runs pairs of overlapping random faults under load: instances are killed, frozen
// past their leases, cut off or stopped; endpoints are killed, leave, stall or ignore
// cancels; settings widen and narrow a team's zones. Callers repeat unanswered
// requests with the same key. At the end the callers' record is compared with the
// endpoints' records: no call ran twice, in a forbidden zone or without an outcome,
// no text is wrong, nothing is still held, and what was "not run" did not run.
func TestSoak(t *testing.T) {
	s := newSoak(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range soakCallers {
		callers.Go(func() { s.caller(n).run(stop) })
	}
	end := time.Now().Add(soakLength(t))
	for pairs := 1; time.Now().Before(end); pairs++ {
		s.runFaultPair(pairs)
	}
	close(stop)
	callers.Wait()
	s.audit()
}

func soakLength(t *testing.T) time.Duration {
	text := os.Getenv(soakLengthVariable)
	if text == "" {
		return defaultSoakLength
	}
	length, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return length
}

func newSoak(t *testing.T) *soak {
	seed := uint64(defaultSoakSeed)
	if text := os.Getenv(soakSeedVariable); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		seed = n
	}
	f := startFleet(t, fleetPlan{zones: []string{"a", "b", "a", "a", "b", "b"}, control: 3})
	s := &soak{
		t: t, fleet: f, emulated: &endpointSet{fleet: f}, seed: seed,
		random: rand.New(rand.NewPCG(seed, 0)),
		teams: []*soakTeam{
			{name: "t", key: teamKey, home: "a", version: 1},
			{name: "u", key: "e2e-team-u", home: "b"},
		},
	}
	for _, team := range s.teams {
		s.setZones(team, team.home)
	}
	s.addEndpoints()
	return s
}

func (s *soak) addEndpoints() {
	for _, zone := range []string{"a", "b"} {
		s.addEndpoint("p-"+zone, zone, fleet.RolePrefill)
		s.addEndpoint("q-"+zone, zone, fleet.RolePrefill)
		for n := range 3 {
			s.addEndpoint(fmt.Sprintf("d%d-%s", n, zone), zone, fleet.RoleDecode)
		}
		for n := range 2 {
			s.addEndpoint(fmt.Sprintf("s%d-%s", n, zone), zone, fleet.RolePlain)
		}
	}
}

func (s *soak) addEndpoint(id, zone string, role fleet.EndpointRole) {
	g := &soakEndpoint{id: id, zone: zone, role: role, address: s.fleet.prefix + ".250:0"}
	s.endpoints = append(s.endpoints, g)
	s.startEndpoint(g)
	g.address = g.current.Address()
}

// startEndpoint starts an endpoint with a new incarnation at its address.
func (s *soak) startEndpoint(g *soakEndpoint) {
	g.current = s.emulated.add(s.t, g.id, g.zone, g.role, func(o *standin.Options) { o.Listen = g.address })
}

// setZones changes a team's zones and waits until the change is in force.
func (s *soak) setZones(team *soakTeam, zones ...string) {
	s.changes++
	id := fmt.Sprintf("soak-%d", s.changes)
	yaml := teamYAML(team.name, team.key, zones...)
	eventually(s.t, 60*time.Second, func() error {
		return s.fleet.applySubtree(s.t, s.fleet.operator, "teams/"+team.name, team.version, id, yaml)
	})
	team.version++
}

func (s *soak) widen(team *soakTeam) {
	team.mu.Lock()
	team.widened = append(team.widened, timeSpan{from: time.Now().UnixMilli()})
	team.mu.Unlock()
	s.setZones(team, "a", "b")
}

func (s *soak) narrow(team *soakTeam) {
	s.setZones(team, team.home)
	team.mu.Lock()
	team.widened[len(team.widened)-1].until = time.Now().UnixMilli()
	team.mu.Unlock()
}
