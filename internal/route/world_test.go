package route_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// world is the fleet around one Router, in memory: endpoints with slots and
// held memory, a ledger, and faults that a test sets.
type world struct {
	mu       sync.Mutex
	state    *membership.State
	stale    bool
	list     []endpoint.Candidate
	grants   map[string]int          // endpoint/attempt -> held grants
	held     map[string]string       // endpoint/attempt -> stage in engine memory
	sends    []string                // "op endpoint" of each send whose bytes left
	releases []endpoint.Release      // in order
	fault    map[string]func() fault // "op endpoint" -> next fault
	refuse   endpoint.Refusal        // when Status is set, each Take gets it
	records  map[outcome.Key]*ledgerRecord
	ledger   func(op string) error // fault of the ledger
	verdict  pb.RunVerdict
	ends     []guardEnd
	denied   *admission.Decision
	plan     schedule.StartPlan
	onClaim  func()
	events   []timeline.Event
	noBudget bool // no retry is left
	budget   *retrybudget.Budget
	// surveying: the follower has not asked all homes yet; surveyedAt is when it
	// had, long ago when zero.
	surveying  bool
	surveyedAt time.Time
	links      *schedule.LinkTable
	// cancelLag is the time that a cancel takes until it is confirmed.
	cancelLag time.Duration
	// takeLag is the time that a home takes to grant a decode slot, whether or
	// not the caller still waits.
	takeLag time.Duration
	// beforeSend runs after the choice and before the last check.
	beforeSend func(next string)
	afterSend  func(sent string)
	// freezeBefore names the op before whose next send the entry is frozen for
	// longer than its grant lives; ranOut are the grants lost so, by endpoint
	// and attempt, and lateSends the sends that left under one all the same.
	freezeBefore string
	ranOut       map[string]bool
	lateSends    int
}

type guardEnd struct{ completed, crashed bool }

type ledgerRecord struct {
	outcome.Record
	decided time.Time
}

// fault is how one call to an endpoint goes wrong.
type fault struct {
	broken bool           // the connection breaks after the bytes left
	code   engineapi.Code // the endpoint's error answer
	rest   time.Duration  // that its error answer asks for
	stall  bool           // no answer until the context ends
	unsent bool           // no connection: no byte left
	after  int            // decode: tokens before the fault
	bend   func(engineapi.Chunk) engineapi.Chunk
}

func newWorld() *world {
	zones := []settings.Zone{{Name: "howrah"}, {Name: "kolkata-north"}, {Name: "barasat"}}
	tree := &settings.Tree{
		Fleet: settings.Fleet{
			Zones:  zones,
			Models: []settings.Model{{Name: "fibre", Versions: []string{"2", "1"}, MaxTokens: 4096, KVBytesPerToken: 1000}},
			Services: []settings.Service{{Name: "bank", Timeout: 2 * time.Second, Routes: []settings.ServiceRoute{
				{Method: "GET", Prefix: "/", Idempotent: true}, {Method: "POST", Prefix: "/slips"},
			}}},
			Timeouts: settings.Timeouts{
				AddressKeep: 5 * time.Second, KVLife: 800 * time.Millisecond, Transfer: 300 * time.Millisecond,
				EndpointLease: 1500 * time.Millisecond, InstanceLease: 2 * time.Second,
			},
			Callers: []settings.CallerKind{{Kind: "sorter", Patience: 20 * time.Second}},
		},
		Teams: map[fleet.Team]settings.Team{"sutokatha": {
			Name: "sutokatha", PermittedZones: []fleet.AvailabilityZone{"howrah", "kolkata-north"},
			Models: []string{"fibre"}, Services: []string{"bank"}, Share: 1,
		}},
	}
	w := &world{
		state:   &membership.State{Index: 1, Tree: tree, View: view()},
		grants:  map[string]int{},
		held:    map[string]string{},
		fault:   map[string]func() fault{},
		records: map[outcome.Key]*ledgerRecord{},
		verdict: pb.RunVerdict_RUN_VERDICT_GO,
		plan:    schedule.StartPlan{ReserveFirst: true},
		budget:  testBudget(1000),
	}
	w.add("p1", fleet.RolePrefill, "howrah")
	w.add("p2", fleet.RolePrefill, "kolkata-north")
	w.add("d1", fleet.RoleDecode, "howrah")
	w.add("d2", fleet.RoleDecode, "kolkata-north")
	w.add("s1", fleet.RolePlain, "howrah")
	w.add("s2", fleet.RolePlain, "kolkata-north")
	return w
}

// testBudget is that of the only entry, with so much slack and more that isn't used.
func testBudget(slack float64) *retrybudget.Budget {
	b := retrybudget.New(time.Now().Add(-time.Hour), retrybudget.Limits{Slack: slack, Window: time.Minute})
	b.Entries(time.Now(), 1)
	return b
}

func view() fleet.View {
	v := fleet.View{Number: 1, Instances: map[fleet.InstanceID]fleet.Instance{}}
	for _, i := range []fleet.Instance{
		{ID: "e1", Zone: "howrah", CallerAddress: "127.0.0.1:1", Entry: true},
		{ID: "e2", Zone: "kolkata-north", CallerAddress: "127.0.0.1:2", Entry: true},
		{ID: "e3", Zone: "barasat", CallerAddress: "127.0.0.1:3", Entry: true},
		{ID: "e4", Zone: "howrah", CallerAddress: "127.0.0.1:4", Entry: true, Draining: true},
	} {
		v.Instances[i.ID] = i
	}
	return v
}

func (w *world) add(id fleet.EndpointID, role fleet.EndpointRole, zone fleet.AvailabilityZone) {
	c := endpoint.Candidate{ID: id, Incarnation: 7, Zone: zone, Address: string(id) + ":1", Role: role, Slots: 20}
	w.list = append(w.list, c)
}

// hide takes all endpoints out of sight and gives them for show.
func (w *world) hide() []endpoint.Candidate {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.list
	w.list = nil
	return known
}

func (w *world) show(known []endpoint.Candidate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = known
}

// refuseTakes has each home refuse each slot so; 0: no more.
func (w *world) refuseTakes(status pb.GrantStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refuse = endpoint.Refusal{Status: status}
}

// router makes a Router in this world.
func (w *world) router(bounds route.Bounds) *route.Router { return w.routerWith(engines{w}, bounds) }

func (w *world) routerWith(client engine.Client, bounds route.Bounds) *route.Router {
	return route.New(route.Options{
		Source: w, Follower: w, Engine: client, Ledger: w, Guard: w, Admission: w, Recorder: w, Budget: w.budget,
		Policies: func(settings.Decisions) (route.Policies, error) {
			return route.Policies{Prefill: first{}, Decode: first{}, Plain: first{}, Start: w}, nil
		},
		Secret: []byte("secret"), Bounds: bounds, Links: w.links,
	})
}

// set puts a fault on each call of op at an endpoint, times times; then none.
func (w *world) set(op string, at fleet.EndpointID, times int, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault[op+" "+string(at)] = func() fault {
		if times == 0 {
			return fault{}
		}
		times--
		return f
	}
}

// setBoth puts a fault on all calls of op at the two decode engines.
func (w *world) setBoth(op string, f fault) {
	w.set(op, "d1", 9, f)
	w.set(op, "d2", 9, f)
}

// permit narrows the team's zones, as newly applied settings do.
func (w *world) permit(zones ...fleet.AvailabilityZone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tree := *w.state.Tree
	team := tree.Teams["sutokatha"]
	team.PermittedZones = zones
	tree.Teams = map[fleet.Team]settings.Team{"sutokatha": team}
	w.state = &membership.State{Index: w.state.Index + 1, Tree: &tree, View: w.state.View}
}

// moveTo puts an endpoint into another zone.
func (w *world) moveTo(id fleet.EndpointID, zone fleet.AvailabilityZone) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.list {
		if w.list[n].ID == id {
			w.list[n].Zone = zone
		}
	}
}

// releaseOf is the reason that an endpoint's home was first given.
func (w *world) releaseOf(id fleet.EndpointID) pb.ReleaseReason {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.releases {
		if r.Grant.Endpoint == id {
			return r.Reason
		}
	}
	return 0
}

var allowGuardEnd = cmp.AllowUnexported(guardEnd{})

// setState replaces the applied state, and gives the one before.
func (w *world) setState(next *membership.State) (before *membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, w.state = w.state, next
	return before
}

func (w *world) freeze(stale bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stale = stale
}

// assertFree checks that no grant and no engine memory is held.
func (w *world) assertFree(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.grants), 0, "grants held: %v", w.grants)
	assert.Equal(t, len(w.held), 0, "memory held: %v", w.held)
}

func (w *world) sent(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.sends {
		if strings.HasPrefix(s, prefix) {
			n++
		}
	}
	return n
}

// Membership.

func (w *world) State() *membership.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

func (w *world) Current(time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stale
}

func (w *world) Self() fleet.Instance {
	return fleet.Instance{ID: "e1", Incarnation: 3, Zone: "howrah"}
}

func (w *world) Changed() <-chan struct{} { return nil }
