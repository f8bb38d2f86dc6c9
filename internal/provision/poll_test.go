package provision

import (
	"context"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

type noDialer struct{}

func (noDialer) Conn(context.Context, string) (drpc.Conn, error) {
	return nil, errors.New("unreachable")
}

// One entry doesn't answer, so its endpoints seem to be removed. A plan from the
// other entries' replies would load their models again and change roles for them.
func TestNothingIsPlannedFromAPartialPoll(t *testing.T) {
	self := fleet.Instance{ID: "i", Incarnation: 1, Zone: "h", Entry: true}
	source := &membership.Static{FixedState: &membership.State{}, Instance: self}
	home := NewGatedHome(&oneHome{}, NewGate())
	p := &poller{options: Options{Source: source, Dialer: noDialer{}}, meter: NewMeter(nil, source, home.gate), home: home, metrics: newMetrics(nil)}
	_, engines, err := p.pollAll(t.Context(), []fleet.Instance{self})
	assert.NilError(t, err)
	assert.Equal(t, len(engines), 1)
	_, _, err = p.pollAll(t.Context(), []fleet.Instance{self, {ID: "j", Zone: "h", Entry: true}})
	assert.ErrorContains(t, err, "unreachable")
}

// Right after a change of the view homes move, and endpoints are unknown for a
// moment as if they were removed.
func TestNothingIsPlannedUntilTheViewIsStable(t *testing.T) {
	var s viewStability
	assert.Assert(t, !s.stableAt(start, 1))
	assert.Assert(t, s.stableAt(start.Add(viewSettleTime), 1))
	assert.Assert(t, !s.stableAt(start.Add(viewSettleTime), 2))
}

func TestPlannerOf(t *testing.T) {
	tree := settings.EmptyTree()
	tree.Fleet.Zones = []settings.Zone{{Name: "h", Region: "bengal"}, {Name: "b", Region: "bengal"}, {Name: "m", Region: "mumbai"}}
	view := fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}}
	for id, zone := range map[fleet.InstanceID]fleet.AvailabilityZone{"1": "h", "2": "h", "3": "b", "4": "m"} {
		view.Instances[id] = fleet.Instance{ID: id, Zone: zone, Entry: true}
	}
	first, ok := PlannerOf("bengal", tree, view)
	assert.Assert(t, ok && first.Zone != "m")
	delete(view.Instances, first.ID)
	second, ok := PlannerOf("bengal", tree, view)
	assert.Assert(t, ok && second.ID != first.ID && second.Zone != "m")
	far, ok := PlannerOf("mumbai", tree, view)
	assert.Assert(t, ok && far.ID == "4")
	_, ok = PlannerOf("", tree, view)
	assert.Assert(t, !ok)
}

// BenchmarkStep plans a region of 1,200 engines and 60 kinds of demand.
func BenchmarkStep(b *testing.B) {
	in := bigInput()
	p := NewPlanner(acting(), 2)
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(acting().Poll)
		p.Step(now, in)
	}
}

func bigInput() Input {
	var in Input
	for n := range 1200 {
		m := fibre
		m.Version = string(rune('a' + n%30))
		role := []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode}[n/30%2]
		in.Engines = append(in.Engines, newEngine(string(rune('a'+n%26))+string(rune('a'+n/26)), "h", role, m))
		if n < 60 {
			in.Rows = append(in.Rows, Row{key(m, role, "h"), Rate{Granted: 30, PromptTokens: 4000, Busy: 200}})
		}
	}
	return in
}

// TestBytesOfAPoll logs and bounds the size of one entry's replies to a planner,
// before framing: four models for two classes of teams, and twelve endpoints.
func TestBytesOfAPoll(t *testing.T) {
	demand, digests := &pb.DemandReply{InstanceId: "mill-entry-1", Incarnation: 1 << 60}, &pb.DigestReply{}
	for _, model := range []string{"fibre-notes@v4", "fibre-notes@v4/cotton", "fibre-notes@v4/saris", "fibre-notes@v3"} {
		for _, class := range []string{"howrah-a", "barasat-a+howrah-a"} {
			for _, kind := range []string{"prefill", "decode"} {
				demand.Rows = append(demand.Rows, &pb.DemandRow{Model: model, Kind: kind, Class: class, Granted: 1 << 20, Refused: 1 << 10, PromptTokens: 1 << 30, BusyMs: 1 << 30})
			}
		}
	}
	for range 12 {
		digests.Digests = append(digests.Digests, &pb.EndpointDigest{Id: "engine-howrah-01", Incarnation: 1 << 60, AvailabilityZone: "howrah-a", Address: "10.20.30.40:8000", Role: "decode", Models: []string{"fibre-notes@v4"}, Slots: 20, Granted: 19, Queued: 3, NextFreeMs: 800, TokenTimeUs: 30000, Sequence: 1 << 30})
	}
	every := settings.DefaultProvision().Poll.Seconds()
	t.Logf("demand %d bytes, digests %d bytes; each %vs: %.0f bytes/s", proto.Size(demand), proto.Size(digests), every,
		float64(proto.Size(demand)+proto.Size(digests))/every)
	assert.Assert(t, float64(proto.Size(demand)+proto.Size(digests))/every < 1000)
}
