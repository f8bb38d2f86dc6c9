package outcome

import (
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// keyAnswers is what has been answered about a key.
type keyAnswers struct {
	run      fleet.AttemptID
	notRun   bool
	recorded pb.OutcomeKind
}

// audit checks each answer against the earlier answers about its key.
type audit struct {
	keys          map[Key]keyAnswers
	verdictCounts map[Verdict]int
	historyLost   bool // a majority of replicas was lost before the group was repaired
	violation     error
}

func newAudit() *audit {
	return &audit{keys: make(map[Key]keyAnswers), verdictCounts: make(map[Verdict]int)}
}

func (a *audit) answersOn(k Key) keyAnswers { return a.keys[k] }

func (a *audit) answer(m *modelProposer, v Verdict, r Record) {
	a.verdictCounts[v]++
	k := a.keys[m.claim.Key]
	switch v {
	case VerdictRun:
		if k.run != "" {
			a.fail("attempts %s and %s of one key may both run", k.run, m.claim.Attempt)
		}
		if k.notRun {
			a.fail("attempt %s may run after its key was answered not run", m.claim.Attempt)
		}
		k.run = m.claim.Attempt
	case VerdictNotRun:
		if k.run != "" {
			a.fail("key answered not run while attempt %s may run", k.run)
		}
		k.notRun = true
	case VerdictRecorded:
		if k.run != r.Attempt {
			a.fail("outcome of attempt %s recorded, attempt %s may run", r.Attempt, k.run)
		}
		if k.recorded != 0 && k.recorded != r.Outcome {
			a.fail("outcomes %s and %s of one key", k.recorded, r.Outcome)
		}
		k.recorded = r.Outcome
	case VerdictUnset:
		if m.answersAtStart.run != "" || m.answersAtStart.notRun {
			a.fail("a decided key was looked up as new")
		}
	}
	// After a loss of history, isolated processes of the old epoch may know less than
	// those of the new one; they hold no lease and take no requests. After a change of
	// zones, a process that hasn't applied it finds only that the key has moved.
	if m.answersAtStart.recorded != 0 && v != VerdictRecorded && !a.historyLost && !m.moved {
		a.fail("verdict %s after the outcome was answered", v)
	}
	a.keys[m.claim.Key] = k
}

func (a *audit) fail(format string, args ...any) {
	if a.violation == nil {
		a.violation = fmt.Errorf(format, args...)
	}
}
