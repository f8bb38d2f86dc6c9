package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// registerFixture asks a register about one fingerprint.
type registerFixture struct {
	*Register
	now    time.Time
	shared SharedState
	dead   map[fleet.Owner]bool
}

var testPrint = fleet.Fingerprint{7}

func newRegisterFixture() *registerFixture {
	x := &registerFixture{Register: NewRegister(DefaultLimits), now: time.Unix(1_000_000, 0), dead: make(map[fleet.Owner]bool)}
	x.shared = SharedState{
		Suspects: make(map[fleet.Fingerprint]fleet.Suspect),
		Alive:    func(o fleet.Owner) bool { return !x.dead[o] },
	}
	return x
}

func (x *registerFixture) begin(attempt string) pb.RunVerdict {
	owner := fleet.Owner{Instance: fleet.InstanceID("owner-" + attempt), Incarnation: 1}
	return x.Begin(x.now, RunRequest{Fingerprint: testPrint, Attempt: fleet.AttemptID(attempt), Owner: owner}, x.shared).Verdict
}

func (x *registerFixture) end(attempt string, completed, crashed bool) {
	x.End(x.now, testPrint, fleet.AttemptID(attempt), completed, crashed, x.shared)
}

const (
	verdictGo          = pb.RunVerdict_RUN_VERDICT_GO
	verdictAlone       = pb.RunVerdict_RUN_VERDICT_ALONE
	verdictWait        = pb.RunVerdict_RUN_VERDICT_WAIT
	verdictQuarantined = pb.RunVerdict_RUN_VERDICT_QUARANTINED
)

func TestUnprovenThenProven(t *testing.T) {
	x := newRegisterFixture()
	assert.Equal(t, x.begin("1"), verdictGo)
	assert.Equal(t, x.begin("1"), verdictGo) // the reply was lost
	assert.Equal(t, x.begin("2"), verdictWait)
	x.end("1", true, false)
	x.now = x.now.Add(time.Second)
	for _, attempt := range []string{"2", "3", "4"} {
		assert.Equal(t, x.begin(attempt), verdictGo)
	}
	x.now = x.now.Add(DefaultLimits.ProvenTTL - time.Second)
	assert.Equal(t, x.begin("5"), verdictWait)
}

// An entry dies while it runs an unproven request, and the caller turns to another entry. The
// run of the dead entry must not make it wait.
func TestRunOfDeadOwner(t *testing.T) {
	x := newRegisterFixture()
	assert.Equal(t, x.begin("1"), verdictGo)
	x.dead[fleet.Owner{Instance: "owner-1", Incarnation: 1}] = true
	assert.Equal(t, x.begin("2"), verdictGo)
}

// An endpoint dies while it runs a harmless request. Its repeats wait until one of them has run
// alone, and are then served as before.
func TestSuspicionIsLifted(t *testing.T) {
	x := newRegisterFixture()
	assert.Equal(t, x.begin("1"), verdictGo)
	x.end("1", false, true)
	x.shared.Suspects[testPrint] = fleet.Suspect{Fingerprint: testPrint, Crashes: 1, Updated: x.now}
	assert.Equal(t, x.begin("2"), verdictAlone)
	assert.Equal(t, x.begin("3"), verdictWait)
	x.end("2", true, false)
	assert.Equal(t, x.begin("3"), verdictGo)
	x.shared.Suspects[testPrint] = fleet.Suspect{Fingerprint: testPrint, Crashes: 2, Updated: x.now.Add(time.Second)}
	x.end("3", false, true)
	assert.Equal(t, x.begin("4"), verdictAlone)
}

// A request that runs as a suspect crashes a second endpoint, before the shared state has
// reported the first crash. The next run must be refused nevertheless.
func TestQuarantinedBeforeTheStateKnows(t *testing.T) {
	x := newRegisterFixture()
	assert.Equal(t, x.begin("1"), verdictGo)
	x.end("1", false, true)
	assert.Equal(t, x.begin("2"), verdictAlone)
	x.end("2", false, true)
	assert.Equal(t, x.begin("3"), verdictQuarantined)
	x.now = x.now.Add(DefaultLimits.SuspectTTL)
	assert.Equal(t, x.begin("4"), verdictGo)
}

// A flood of different requests must neither grow the register nor make it drop a request that
// has crashed an endpoint.
func TestRegisterIsBounded(t *testing.T) {
	x := newRegisterFixture()
	x.limits.MaxTracked = 100
	assert.Equal(t, x.begin("1"), verdictGo)
	x.end("1", false, true)
	for n := range 5000 {
		f := fleet.Fingerprint{byte(n), byte(n >> 8), 1}
		x.now = x.now.Add(time.Millisecond)
		x.Begin(x.now, RunRequest{Fingerprint: f, Attempt: "a"}, x.shared)
		x.End(x.now, f, "a", true, false, x.shared)
		assert.Assert(t, x.Len() <= 100 && len(x.order) <= 100)
	}
	assert.Equal(t, x.begin("2"), verdictAlone)
	x.now = x.now.Add(2 * DefaultLimits.SuspectTTL)
	for range 4 {
		x.Expire(x.now, expireBatch)
	}
	assert.Equal(t, x.Len(), 0)
}
