package quarantine

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Run asks to start a run of a fingerprint.
type Run struct {
	Fingerprint fleet.Fingerprint
	Attempt     fleet.AttemptID
	Owner       fleet.Owner
}

// Answer tells whether a run may start. RetryAfter is set with WAIT.
type Answer struct {
	Verdict    pb.RunVerdict
	RetryAfter time.Duration
}

// Shared is what the shared state tells a register.
type Shared struct {
	Suspects map[fleet.Fingerprint]fleet.Suspect
	Alive    func(fleet.Owner) bool
}

// activeRun is a run that has begun and not ended.
type activeRun struct {
	owner fleet.Owner
	begun time.Time
	alone bool
}

// track is what a register keeps of a fingerprint.
type track struct {
	runs        map[fleet.AttemptID]activeRun // nil when there are none
	proven      time.Time                     // when a run last completed
	crashed     time.Time                     // when a run here last ended with the endpoint's death
	quarantined time.Time                     // when a lone suspect's run did
	cleared     time.Time                     // Updated of the shared suspicion that a completed run refuted
	used        time.Time
}

// Register decides which runs may start, for the fingerprints that one guard
// instance is asked about. It is pure and not safe for concurrent use.
type Register struct {
	limits  Limits
	tracked map[fleet.Fingerprint]*track
	order   []orderMark // one for each tracked fingerprint, oldest first
}

type orderMark struct {
	fingerprint fleet.Fingerprint
	used        time.Time
}

// NewRegister makes an empty register.
func NewRegister(limits Limits) *Register {
	return &Register{limits: limits, tracked: make(map[fleet.Fingerprint]*track)}
}

// SetSuspectLife changes how long a suspect or quarantine lasts.
func (r *Register) SetSuspectLife(life time.Duration) { r.limits.SuspectLife = life }

// Len gives the number of tracked fingerprints.
func (r *Register) Len() int { return len(r.tracked) }

// Begin decides on a run. GO and ALONE note it as running until End.
//
// The failure guarded against: a request that crashes each endpoint is sent
// again and again, with new keys and to several entries, and takes down one
// endpoint after another. Until a fingerprint has completed once, only few of
// it run at a time; once it was on an endpoint that died, one at a time, and
// its endpoint is given no other suspect, so that the next death tells.
func (r *Register) Begin(now time.Time, q Run, shared Shared) Answer {
	suspect, suspected := liveSuspect(shared.Suspects, q.Fingerprint, now, r.limits.SuspectLife)
	if suspected && suspect.Quarantined {
		return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	t := r.track(now, q.Fingerprint)
	if t == nil {
		return r.wait()
	}
	t.used = now
	if now.Sub(t.quarantined) < r.limits.SuspectLife {
		return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	r.dropLost(now, t, shared.Alive)
	if run, repeated := t.runs[q.Attempt]; repeated {
		return started(run.alone)
	}
	alone := (suspected && !suspect.Updated.Equal(t.cleared)) || now.Sub(t.crashed) < r.limits.SuspectLife
	if r.busy(now, t, alone) {
		return r.wait()
	}
	if t.runs == nil {
		t.runs = make(map[fleet.AttemptID]activeRun, 1)
	}
	t.runs[q.Attempt] = activeRun{owner: q.Owner, begun: now, alone: alone}
	return started(alone)
}

// liveSuspect gives the shared suspect unless its life is over. The shared
// state drops old ones only with its next command, which may be long in coming
// when the control group has no leader: a quarantine would go on meanwhile.
func liveSuspect(suspects map[fleet.Fingerprint]fleet.Suspect, f fleet.Fingerprint, now time.Time, life time.Duration) (fleet.Suspect, bool) {
	s, ok := suspects[f]
	return s, ok && now.Sub(s.Updated) < life
}

func started(alone bool) Answer {
	if alone {
		return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_ALONE}
	}
	return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_GO}
}

func (r *Register) wait() Answer {
	return Answer{Verdict: pb.RunVerdict_RUN_VERDICT_WAIT, RetryAfter: r.limits.RetryAfter}
}

func (r *Register) busy(now time.Time, t *track, alone bool) bool {
	switch {
	case alone:
		return len(t.runs) > 0
	case now.Sub(t.proven) < r.limits.ProvenLife:
		return false
	}
	return len(t.runs) >= r.limits.UnprovenRuns
}

// End notes how a run ended. A completed run lifts the suspicion until the
// next death.
func (r *Register) End(now time.Time, f fleet.Fingerprint, attempt fleet.AttemptID, completed, endpointCrashed bool, shared Shared) {
	t := r.tracked[f]
	if t == nil {
		return
	}
	run, known := t.runs[attempt]
	delete(t.runs, attempt)
	if len(t.runs) == 0 {
		t.runs = nil // most fingerprints run once; an empty map is larger than the rest
	}
	switch {
	case endpointCrashed:
		t.crashed = now
		t.proven = time.Time{}
		if known && run.alone {
			t.quarantined = now
		}
	case completed:
		t.proven = now
		t.crashed = time.Time{}
		t.cleared = shared.Suspects[f].Updated
	}
}

// dropLost forgets runs whose end was lost, or whose owner is gone.
func (r *Register) dropLost(now time.Time, t *track, alive func(fleet.Owner) bool) {
	for attempt, run := range t.runs {
		if now.Sub(run.begun) >= r.limits.RunLife || !alive(run.owner) {
			delete(t.runs, attempt)
		}
	}
}

// track gives the fingerprint's track; nil when there is no room.
func (r *Register) track(now time.Time, f fleet.Fingerprint) *track {
	if t, ok := r.tracked[f]; ok {
		return t
	}
	r.Expire(now, expireBatch)
	if len(r.tracked) >= r.limits.MaxTracked && !r.evict() {
		return nil
	}
	t := &track{used: now}
	r.tracked[f] = t
	r.order = append(r.order, orderMark{fingerprint: f, used: now})
	return t
}
