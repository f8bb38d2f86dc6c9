package quarantine

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// RunRequest is a request to start a run of a fingerprint.
type RunRequest struct {
	Fingerprint fleet.Fingerprint
	Attempt     fleet.AttemptID
	Owner       fleet.Owner
}

// Decision is the answer to a Run. RetryAfter is set with the verdict WAIT.
type Decision struct {
	Verdict    pb.RunVerdict
	RetryAfter time.Duration
}

// SharedState is the part of the shared state that a register needs.
type SharedState struct {
	Suspects map[fleet.Fingerprint]fleet.Suspect
	Alive    func(fleet.Owner) bool
}

// activeRun is a run that has begun and has not ended.
type activeRun struct {
	owner     fleet.Owner
	startedAt time.Time
	alone     bool
}

// fingerprintState is what a register knows about a fingerprint.
type fingerprintState struct {
	runs             map[fleet.AttemptID]activeRun // nil if there are none
	lastCompleted    time.Time                     // when a run last completed
	lastCrashed      time.Time                     // when a run last ended with the death of its endpoint
	quarantinedAt    time.Time                     // when a run with the verdict ALONE last ended like that
	clearedSuspicion time.Time                     // Updated of the shared suspect that a completed run has refuted
	lastUsed         time.Time
}

// Register decides which runs may start, for the fingerprints of one guard instance. It does no
// I/O, reads no clock and is not safe for concurrent use.
type Register struct {
	limits  Limits
	tracked map[fleet.Fingerprint]*fingerprintState
	order   []orderMark // one mark for each tracked fingerprint, oldest first
}

// orderMark is a place in the order in which fingerprints are checked for expiry.
type orderMark struct {
	fingerprint fleet.Fingerprint
	used        time.Time
}

// NewRegister returns an empty register.
func NewRegister(limits Limits) *Register {
	return &Register{limits: limits, tracked: make(map[fleet.Fingerprint]*fingerprintState)}
}

// SetSuspectTTL sets how long a suspect or quarantine is kept.
func (r *Register) SetSuspectTTL(ttl time.Duration) { r.limits.SuspectTTL = ttl }

// Len returns the number of tracked fingerprints.
func (r *Register) Len() int { return len(r.tracked) }

// Begin decides on a run. After the verdicts GO and ALONE the run counts as active until End.
//
// Guards against a request that crashes every endpoint and is repeated with new keys and at
// several entries. Until a fingerprint has completed once, only a few of its runs are active
// at a time; once it has run on an endpoint that died, only one is, and its endpoint gets no
// other suspect, so that the next death identifies the cause.
func (r *Register) Begin(now time.Time, q RunRequest, shared SharedState) Decision {
	suspect, suspected := unexpiredSuspect(shared.Suspects, q.Fingerprint, now, r.limits.SuspectTTL)
	if suspected && suspect.Quarantined {
		return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	state := r.getOrCreate(now, q.Fingerprint)
	if state == nil {
		return r.waitDecision()
	}
	state.lastUsed = now
	if now.Sub(state.quarantinedAt) < r.limits.SuspectTTL {
		return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_QUARANTINED}
	}
	r.dropLostRuns(now, state, shared.Alive)
	if run, repeated := state.runs[q.Attempt]; repeated {
		return startDecision(run.alone)
	}
	alone := (suspected && !suspect.Updated.Equal(state.clearedSuspicion)) || now.Sub(state.lastCrashed) < r.limits.SuspectTTL
	if r.mustWait(now, state, alone) {
		return r.waitDecision()
	}
	if state.runs == nil {
		state.runs = make(map[fleet.AttemptID]activeRun, 1)
	}
	state.runs[q.Attempt] = activeRun{owner: q.Owner, startedAt: now, alone: alone}
	return startDecision(alone)
}

// unexpiredSuspect returns the shared suspect of a fingerprint, and whether it exists and has
// not expired. The shared state removes expired suspects only with its next command, which
// may be long delayed while the control group has no leader; a quarantine would last longer
// meanwhile.
func unexpiredSuspect(suspects map[fleet.Fingerprint]fleet.Suspect, f fleet.Fingerprint, now time.Time, ttl time.Duration) (fleet.Suspect, bool) {
	s, ok := suspects[f]
	return s, ok && now.Sub(s.Updated) < ttl
}

// startDecision returns the decision that a run may start.
func startDecision(alone bool) Decision {
	if alone {
		return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_ALONE}
	}
	return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_GO}
}

// waitDecision returns the decision that a run must wait.
func (r *Register) waitDecision() Decision {
	return Decision{Verdict: pb.RunVerdict_RUN_VERDICT_WAIT, RetryAfter: r.limits.RetryAfter}
}

// mustWait reports whether a run must wait for active runs of its fingerprint.
func (r *Register) mustWait(now time.Time, state *fingerprintState, alone bool) bool {
	switch {
	case alone:
		return len(state.runs) > 0
	case now.Sub(state.lastCompleted) < r.limits.ProvenTTL:
		return false
	}
	return len(state.runs) >= r.limits.MaxUnprovenRuns
}

// End records how a run has ended. A completed run clears the suspicion until the next death.
func (r *Register) End(now time.Time, f fleet.Fingerprint, attempt fleet.AttemptID, completed, endpointCrashed bool, shared SharedState) {
	state := r.tracked[f]
	if state == nil {
		return
	}
	run, known := state.runs[attempt]
	delete(state.runs, attempt)
	if len(state.runs) == 0 {
		state.runs = nil // most fingerprints run once, and an empty map is larger than the rest
	}
	switch {
	case endpointCrashed:
		state.lastCrashed = now
		state.lastCompleted = time.Time{}
		if known && run.alone {
			state.quarantinedAt = now
		}
	case completed:
		state.lastCompleted = now
		state.lastCrashed = time.Time{}
		state.clearedSuspicion = shared.Suspects[f].Updated
	}
}

// dropLostRuns drops the runs whose end was not reported in time, or whose owner is no longer
// alive.
func (r *Register) dropLostRuns(now time.Time, state *fingerprintState, alive func(fleet.Owner) bool) {
	for attempt, run := range state.runs {
		if now.Sub(run.startedAt) >= r.limits.RunTTL || !alive(run.owner) {
			delete(state.runs, attempt)
		}
	}
}

// getOrCreate returns the state of a fingerprint; nil if there is no capacity for it.
func (r *Register) getOrCreate(now time.Time, f fleet.Fingerprint) *fingerprintState {
	if state, ok := r.tracked[f]; ok {
		return state
	}
	r.Expire(now, expireBatch)
	if len(r.tracked) >= r.limits.MaxTracked && !r.evict() {
		return nil
	}
	state := &fingerprintState{lastUsed: now}
	r.tracked[f] = state
	r.order = append(r.order, orderMark{fingerprint: f, used: now})
	return state
}
