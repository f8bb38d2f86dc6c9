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

// crashScenario is a guard instance over the replicated state: runs ask the one,
// deaths are reported to the other.
type crashScenario struct {
	*testLog
	register *quarantine.Register
	deaths   uint64
	runs     int
}

func (s *crashScenario) shared() quarantine.Shared {
	return quarantine.Shared{
		Suspects: s.machine.suspects.records,
		Alive:    func(fleet.Owner) bool { return true },
	}
}

func (s *crashScenario) beginRun(f byte) (fleet.AttemptID, pb.RunVerdict) {
	s.runs++
	attempt := fleet.AttemptID(fmt.Sprint(s.runs))
	run := quarantine.Run{Fingerprint: fleet.Fingerprint{f}, Attempt: attempt}
	return attempt, s.register.Begin(time.UnixMilli(s.clockMs), run, s.shared()).Verdict
}

// crashEndpoint ends an endpoint on which these run, reports it twice, restarts the
// machine from its snapshot, and moves the guard to another instance, which
// knows the replicated state alone.
func (s *crashScenario) crashEndpoint(running map[byte]fleet.AttemptID) {
	s.deaths++
	var on []byte
	for f, attempt := range running {
		on = append(on, f)
		s.register.End(time.UnixMilli(s.clockMs), fleet.Fingerprint{f}, attempt, false, true, s.shared())
	}
	for range 2 {
		assert.Equal(s.t, s.crash("bank", s.deaths, on...), "")
		s.restoreFromSnapshot()
	}
	s.clockMs += 1000
	s.register = quarantine.NewRegister(quarantine.DefaultLimits)
}

// runToCompletion runs an innocent request again until it completes.
func (s *crashScenario) runToCompletion(f byte) {
	s.t.Helper()
	attempt, verdict := s.beginRun(f)
	assert.Assert(s.t, verdict == pb.RunVerdict_RUN_VERDICT_GO || verdict == pb.RunVerdict_RUN_VERDICT_ALONE, "%s", verdict)
	s.register.End(time.UnixMilli(s.clockMs), fleet.Fingerprint{f}, attempt, true, false, s.shared())
}

// A request crashes each endpoint that runs it, and its caller sends it again
// and again. Each time other requests run beside it, and a report is repeated.
// Two endpoints die; then it is refused. Its neighbours are served, also when
// another endpoint of theirs dies by itself.
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
	assert.Equal(t, s.deaths, uint64(2))
	assert.Equal(t, len(s.machine.suspects.records), 6) // with the neighbours of the first death
	lone, _ := s.beginRun(6)                            // a neighbour of the second one
	s.crashEndpoint(map[byte]fleet.AttemptID{6: lone})
	s.runToCompletion(6)
	for f, r := range s.machine.suspects.records {
		assert.Equal(t, r.Quarantined, f[0] == bad, "%v", f)
	}
}
