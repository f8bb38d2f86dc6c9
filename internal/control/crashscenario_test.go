package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/quarantine"
)

// crashScenario combines a quarantine register, which admits runs, with the
// replicated state, which receives crash reports.
type crashScenario struct {
	*testLog
	register *quarantine.Register
	crashes  uint64
	runs     int
}

func (s *crashScenario) shared() quarantine.SharedState {
	return quarantine.SharedState{
		Suspects: s.machine.suspects.records,
		Alive:    func(fleet.Owner) bool { return true },
	}
}

func (s *crashScenario) beginRun(f byte) (fleet.AttemptID, pb.RunVerdict) {
	s.runs++
	attempt := fleet.AttemptID(fmt.Sprint(s.runs))
	run := quarantine.RunRequest{Fingerprint: fleet.Fingerprint{f}, Attempt: attempt}
	return attempt, s.register.Begin(time.UnixMilli(s.clockMs), run, s.shared()).Verdict
}

// crashEndpoint crashes an endpoint with these runs and reports the crash twice,
// each time followed by a restore from a snapshot. Then it replaces the register
// by an empty one, which knows the replicated state alone.
func (s *crashScenario) crashEndpoint(running map[byte]fleet.AttemptID) {
	s.crashes++
	var on []byte
	for f, attempt := range running {
		on = append(on, f)
		s.register.End(time.UnixMilli(s.clockMs), fleet.Fingerprint{f}, attempt, false, true, s.shared())
	}
	for range 2 {
		assert.Equal(s.t, s.crash("bank", s.crashes, on...), "")
		s.restoreFromSnapshot()
	}
	s.clockMs += 1000
	s.register = quarantine.NewRegister(quarantine.DefaultLimits)
}

// runToCompletion runs a request that does not cause crashes until it completes.
func (s *crashScenario) runToCompletion(f byte) {
	s.t.Helper()
	attempt, verdict := s.beginRun(f)
	assert.Assert(s.t, verdict == pb.RunVerdict_RUN_VERDICT_GO || verdict == pb.RunVerdict_RUN_VERDICT_ALONE, "%s", verdict)
	s.register.End(time.UnixMilli(s.clockMs), fleet.Fingerprint{f}, attempt, true, false, s.shared())
}

// A request crashes each endpoint that runs it, and its caller repeats it. Each
// time other requests run on the same endpoint, and the report is sent twice.
// After two crashes the request must be refused. The other requests must be
// served, also when their endpoint crashes once more for another reason.
func TestCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	const bad = byte(255)
	s := &crashScenario{testLog: newFleet(t), register: quarantine.NewRegister(quarantine.DefaultLimits)}
	for send := range 6 {
		running := make(map[byte]fleet.AttemptID)
		attempt, verdict := s.beginRun(bad)
		if verdict == pb.RunVerdict_RUN_VERDICT_QUARANTINED {
			continue
		}
		running[bad] = attempt
		for n := range byte(5) {
			f := byte(send)*5 + n + 1
			running[f], verdict = s.beginRun(f)
			assert.Equal(t, verdict, pb.RunVerdict_RUN_VERDICT_GO)
		}
		s.crashEndpoint(running)
		for f := range running {
			if f != bad {
				s.runToCompletion(f)
			}
		}
	}
	assert.Equal(t, s.crashes, uint64(2))
	assert.Equal(t, len(s.machine.suspects.records), 6) // with the other requests of the first crash
	lone, _ := s.beginRun(6)                            // ran beside it at the second crash
	s.crashEndpoint(map[byte]fleet.AttemptID{6: lone})
	s.runToCompletion(6)
	for f, r := range s.machine.suspects.records {
		assert.Equal(t, r.Quarantined, f[0] == bad, "%v", f)
	}
}
