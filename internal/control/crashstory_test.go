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

// crashStory is a guard instance over the replicated state: runs ask the one,
// deaths are reported to the other.
type crashStory struct {
	*log
	guard  *quarantine.Register
	deaths uint64
	runs   int
}

func (s *crashStory) shared() quarantine.Shared {
	return quarantine.Shared{
		Suspects: s.machine.suspects.records,
		Alive:    func(fleet.Owner) bool { return true },
	}
}

func (s *crashStory) begin(f byte) (fleet.AttemptID, pb.RunVerdict) {
	s.runs++
	attempt := fleet.AttemptID(fmt.Sprint(s.runs))
	run := quarantine.Run{Fingerprint: fleet.Fingerprint{f}, Attempt: attempt}
	return attempt, s.guard.Begin(time.UnixMilli(s.clock), run, s.shared()).Verdict
}

// die ends an endpoint on which these run, reports it twice, restarts the
// machine from its snapshot, and moves the guard to another instance, which
// knows the replicated state alone.
func (s *crashStory) die(running map[byte]fleet.AttemptID) {
	s.deaths++
	var on []byte
	for f, attempt := range running {
		on = append(on, f)
		s.guard.End(time.UnixMilli(s.clock), fleet.Fingerprint{f}, attempt, false, true, s.shared())
	}
	for range 2 {
		assert.Equal(s.t, s.crash("bank", s.deaths, on...), "")
		s.restart()
	}
	s.clock += 1000
	s.guard = quarantine.NewRegister(quarantine.DefaultLimits)
}

// serve runs an innocent request again until it completes.
func (s *crashStory) serve(f byte) {
	s.t.Helper()
	attempt, verdict := s.begin(f)
	assert.Assert(s.t, verdict == pb.RunVerdict_RUN_VERDICT_GO || verdict == pb.RunVerdict_RUN_VERDICT_ALONE, "%s", verdict)
	s.guard.End(time.UnixMilli(s.clock), fleet.Fingerprint{f}, attempt, true, false, s.shared())
}

// A request crashes each endpoint that runs it, and its caller sends it again
// and again. Each time other requests run beside it, and a report is repeated.
// Two endpoints die; then it is refused. Its neighbours are served, also when
// another endpoint of theirs dies by itself.
func TestTwoDeathsAtMost(t *testing.T) {
	const bad = byte(255)
	s := &crashStory{log: newFleet(t), guard: quarantine.NewRegister(quarantine.DefaultLimits)}
	for send := range 6 {
		running := make(map[byte]fleet.AttemptID)
		attempt, verdict := s.begin(bad)
		if verdict == pb.RunVerdict_RUN_VERDICT_QUARANTINED {
			continue
		}
		running[bad] = attempt
		for n := range byte(5) {
			f := byte(send)*5 + n + 1
			running[f], verdict = s.begin(f)
			assert.Equal(t, verdict, pb.RunVerdict_RUN_VERDICT_GO)
		}
		s.die(running)
		for f := range running {
			if f != bad {
				s.serve(f)
			}
		}
	}
	assert.Equal(t, s.deaths, uint64(2))
	assert.Equal(t, len(s.machine.suspects.records), 6) // with the neighbours of the first death
	lone, _ := s.begin(6)                               // a neighbour of the second one
	s.die(map[byte]fleet.AttemptID{6: lone})
	s.serve(6)
	for f, r := range s.machine.suspects.records {
		assert.Equal(t, r.Quarantined, f[0] == bad, "%v", f)
	}
}
