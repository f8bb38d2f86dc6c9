package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

var testZones = fleet.NewZoneSet("howrah", "barasat")

// testEntry is an entry whose state the test sets, and its network.
type testEntry struct {
	membership.Static
	service *Service
	net     *testkit.Network
}

// ledgerServer serves the calls of a guard instance only.
type ledgerServer struct {
	noCalls
	*Service
}

type noCalls struct {
	pb.DRPCLedgerUnimplementedServer
}

// newPair returns two entries; the first is the guard of all fingerprints.
func newPair() (guard, other *testEntry) {
	view := fleet.View{Instances: make(map[fleet.InstanceID]fleet.Instance)}
	groups := make(map[fleet.LedgerShard]fleet.LedgerGroup)
	state := &membership.State{View: view, LedgerGroups: groups, Suspects: make(map[fleet.Fingerprint]fleet.Suspect)}
	net := &testkit.Network{}
	var entries []*testEntry
	for _, name := range []fleet.InstanceID{"a", "b"} {
		self := fleet.Instance{ID: name, Incarnation: 1, Zone: "howrah", RPCAddress: string(name)}
		e := &testEntry{Static: membership.Static{FixedState: state, Instance: self}, net: net}
		e.service = NewService(Options{Source: e, Dialer: net.Dialer(string(name))})
		view.Instances[name] = self
		net.Serve(string(name), &ledgerServer{Service: e.service}, pb.DRPCLedgerDescription{})
		entries = append(entries, e)
	}
	for n := range uint32(fleet.LedgerShards) {
		shard := fleet.LedgerShard{ZoneClass: testZones.Class(), Shard: n}
		groups[shard] = fleet.LedgerGroup{Shard: shard, Epoch: 1, Replicas: []fleet.LedgerReplica{
			{Owner: entries[1].Instance.Owner()},
			{Owner: entries[0].Instance.Owner(), Ready: true},
		}}
	}
	return entries[0], entries[1]
}

func (e *testEntry) begin(t *testing.T, attempt fleet.AttemptID) pb.RunVerdict {
	verdict, wait := e.service.Begin(t.Context(), testPrint, testZones, attempt)
	assert.Equal(t, wait > 0, verdict == verdictWait)
	return verdict
}

// drain sends the queued ends, as Run does.
func (e *testEntry) drain(t *testing.T) {
	for len(e.service.ends) > 0 {
		e.service.sendEnd(t.Context(), <-e.service.ends)
	}
}

// Two entries receive the same request. Both ask the same guard instance, so the second waits
// until the first has completed.
func TestOneGuardForAllEntries(t *testing.T) {
	guard, other := newPair()
	assert.Equal(t, other.begin(t, "1"), verdictGo)
	assert.Equal(t, guard.begin(t, "2"), verdictWait)
	other.service.End(testPrint, testZones, "1", true, false)
	other.drain(t)
	assert.Equal(t, guard.begin(t, "2"), verdictGo)
	assert.Equal(t, other.begin(t, "3"), verdictGo)
	// The first replica of the group is not ready and must not be asked.
	assert.Equal(t, other.service.register.Len(), 0)
}

// The guard instance can't be reached. The shared state decides: a quarantined request is
// refused, a suspect runs alone.
func TestGuardOutOfReach(t *testing.T) {
	guard, other := newPair()
	other.net.Remove("a")
	assert.Equal(t, other.begin(t, "1"), verdictGo)
	other.FixedState.Suspects[testPrint] = fleet.Suspect{Fingerprint: testPrint, Crashes: 1, Updated: time.Now()}
	assert.Equal(t, other.begin(t, "2"), verdictAlone)
	other.FixedState.Suspects[testPrint] = fleet.Suspect{Fingerprint: testPrint, Crashes: 2, Quarantined: true, Updated: time.Now()}
	assert.Equal(t, other.begin(t, "3"), verdictQuarantined)
	assert.Equal(t, guard.net.CallCount("a"), 0)
}

// The control group has no leader for longer than a quarantine lasts, so the shared state keeps
// expired suspects. The request must be served again nevertheless, whether its guard instance
// answers or not.
func TestQuarantineEndsWithoutTheControlGroup(t *testing.T) {
	old := time.Now().Add(-DefaultLimits.SuspectTTL)
	for _, suspect := range []fleet.Suspect{
		{Fingerprint: testPrint, Crashes: 2, Quarantined: true, Updated: old},
		{Fingerprint: testPrint, Crashes: 1, Updated: old},
	} {
		guard, other := newPair()
		other.FixedState.Suspects[testPrint] = suspect
		assert.Equal(t, other.begin(t, "1"), verdictGo)
		assert.Equal(t, guard.begin(t, "1"), verdictGo)
		other.net.Remove("a")
		assert.Equal(t, other.begin(t, "2"), verdictGo)
	}
}

// The guard instance is in a zone that the data of the team may not enter. Nothing may be sent
// to it.
func TestGuardOutsideTheZones(t *testing.T) {
	guard, other := newPair()
	moved := guard.Instance
	moved.Zone = "rende-hall"
	other.FixedState.View.Instances["a"] = moved
	assert.Equal(t, other.begin(t, "1"), verdictGo)
	other.service.End(testPrint, testZones, "1", true, false)
	other.drain(t)
	assert.Equal(t, guard.net.CallCount("a"), 0)
}

// FuzzRuns calls the RPC handlers with fields from another process.
func FuzzRuns(f *testing.F) {
	f.Add(testPrint[:], "attempt", "owner", true, false)
	f.Add([]byte{1}, "", "", false, true)
	guard, _ := newPair()
	f.Fuzz(func(t *testing.T, print []byte, attempt, owner string, completed, crashed bool) {
		ctx := t.Context()
		_, begun := guard.service.BeginRun(ctx, &pb.BeginRunRequest{Fingerprint: print, AttemptId: attempt, Owner: &pb.Owner{InstanceId: owner}})
		_, ended := guard.service.EndRun(ctx, &pb.EndRunRequest{Fingerprint: print, AttemptId: attempt, Completed: completed, EndpointCrashed: crashed})
		wellFormed := len(print) == len(testPrint)
		assert.Assert(t, wellFormed || begun != nil && ended != nil, "a malformed fingerprint was accepted")
	})
}
