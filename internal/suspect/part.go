package suspect

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// EndpointKind is what endpoints have in common that a part of prompts may crash: others may be
// sound with the same part.
type EndpointKind struct {
	Service  string
	Stage    string // prefill or decode; empty where endpoints have none
	Software string // version of their software
}

// PartKey is a part of prompts at one kind of endpoint.
type PartKey struct {
	EndpointKind
	Part fleet.PromptPart
}

// PartLoss is a run that ended since its endpoint crashed.
type PartLoss struct {
	EndpointKind
	Endpoint string     // ID; empty if unknown
	Parts    []LostPart // in the order of the prompt
	Sent     time.Time  // when the request was sent to the endpoint
	Ended    time.Time  // when the connection ended
	Noticed  time.Time  // by when the endpoint's process had ended
}

// NewPartLoss returns the loss of a run with the parts of a prompt. The end of the endpoint is
// noticed with that of the connection.
func NewPartLoss(kind EndpointKind, endpoint string, parts fleet.PromptParts, sent, ended time.Time) PartLoss {
	loss := PartLoss{EndpointKind: kind, Endpoint: endpoint, Sent: sent, Ended: ended, Noticed: ended}
	for _, part := range parts {
		loss.Parts = append(loss.Parts, LostPart{Part: part})
	}
	return loss
}

// LostPart is a part of a lost run's prompt.
type LostPart struct {
	Part fleet.PromptPart
	// Answered reports that such an endpoint has lately answered a request with the part.
	Answered bool
}

// Bounds on crashes in a row from which a part is refused.
const (
	// maxCrashes is the bound for a part that no such endpoint has answered lately.
	maxCrashes = MultiSuspectCrashes
	// maxCrashesAnswered is the bound for one that was answered. A part that many prompts share
	// runs on most endpoints, and is there when several crash within the time of one answer.
	maxCrashesAnswered = 2 * MultiSuspectCrashes
	// maxCrashesElsewhere and maxCrashesElsewhereAnswered are the same for a part that is refused at
	// another software version.
	maxCrashesElsewhere         = 1
	maxCrashesElsewhereAnswered = MultiSuspectCrashes
)

// Trials of refused parts.
const (
	// trialLease is how long one trial keeps others from starting: crashes show within it, and a
	// trial that could not be sent, or of which nobody hears, is soon repeated.
	trialLease = 5 * time.Second
	// firstTrialPause is the time from the refusal of a part to its first trial; each failed one
	// makes the next pause longer, up to maxTrialPause.
	firstTrialPause  = 5 * time.Minute
	trialPauseFactor = 3
	maxTrialPause    = 2 * time.Hour
	// maxRefusedVersions is the number of software versions that a part may crash before it is
	// tried at no other.
	maxRefusedVersions = 3
)

// PartFinding is what is known about a part at one kind of endpoint.
type PartFinding struct {
	Key PartKey
	// Crashes counts endpoints that crashed in a row while they ran requests with the part, none
	// of which has been answered in between.
	Crashes      int
	Answered     bool      // at some time since its first crash, or lately before that
	CrashedAt    time.Time // of the latest crash that counts; zero for none
	AnsweredAt   time.Time // of the latest answer since the first crash; zero for none
	RefusedAt    time.Time // when it was refused, or its latest trial failed; zero unless it is refused
	TriedAt      time.Time // when its latest trial began; zero for none
	FailedTrials int
}

// IsRefused reports whether requests with the part are refused.
func (f PartFinding) IsRefused() bool { return !f.RefusedAt.IsZero() }

// NextTrial returns when one request with a refused part may be sent.
func (f PartFinding) NextTrial() time.Time {
	next := f.RefusedAt.Add(trialPause(f.FailedTrials))
	if f.TriedAt.IsZero() {
		return next
	}
	return later(next, f.TriedAt.Add(trialLease))
}

// bound returns the number of crashes from which the part is refused.
func (f PartFinding) bound(refusedElsewhere bool) int {
	switch {
	case refusedElsewhere && f.Answered:
		return maxCrashesElsewhereAnswered
	case refusedElsewhere:
		return maxCrashesElsewhere
	case f.Answered:
		return maxCrashesAnswered
	}
	return maxCrashes
}

// suspectShare is the share of its bound at which a part is a suspect: one over it.
const suspectShare = 3

// isSuspect reports whether crashes count against the part: the first one, or the second where it was
// answered.
func (f PartFinding) isSuspect() bool { return suspectShare*f.Crashes >= f.bound(false) }

// holdBack keeps the part below the bounds on crashes.
func (f *PartFinding) holdBack() { f.Crashes = min(f.Crashes, maxCrashes-1) }

// failTrial records a crash of a refused part; one that was sent before the refusal is no trial.
func (f *PartFinding) failTrial(loss PartLoss) bool {
	if loss.Sent.Before(f.RefusedAt) {
		return false
	}
	f.FailedTrials++
	f.CrashedAt, f.RefusedAt = loss.Ended, loss.Ended
	return true
}

// clear records an answer.
func (f *PartFinding) clear(at time.Time) {
	*f = PartFinding{Key: f.Key, Answered: true, AnsweredAt: at}
}

// updated returns the time of the latest event.
func (f PartFinding) updated() time.Time {
	return later(later(f.CrashedAt, f.AnsweredAt), later(f.RefusedAt, f.TriedAt))
}

// trialPause returns the time until the next trial of a part after some have failed.
func trialPause(failed int) time.Duration {
	pause := firstTrialPause
	for range failed {
		pause = min(pause*trialPauseFactor, maxTrialPause)
	}
	return pause
}

// merge takes in what another process knows. An answer outweighs all that came before it.
func (f *PartFinding) merge(other PartFinding) {
	f.AnsweredAt = later(f.AnsweredAt, other.AnsweredAt)
	f.Answered = f.Answered || other.Answered
	f.forgetUntil(f.AnsweredAt)
	other.forgetUntil(f.AnsweredAt)
	f.Crashes = max(f.Crashes, other.Crashes)
	f.CrashedAt = later(f.CrashedAt, other.CrashedAt)
	f.TriedAt = later(f.TriedAt, other.TriedAt)
	f.mergeRefusal(other)
}

func (f *PartFinding) mergeRefusal(other PartFinding) {
	switch {
	case other.RefusedAt.After(f.RefusedAt):
		f.RefusedAt, f.FailedTrials = other.RefusedAt, other.FailedTrials
	case other.RefusedAt.Equal(f.RefusedAt):
		f.FailedTrials = max(f.FailedTrials, other.FailedTrials)
	}
}

// forgetUntil forgets crashes, refusals and trials until the time of an answer.
func (f *PartFinding) forgetUntil(answered time.Time) {
	if !f.CrashedAt.After(answered) {
		f.Crashes, f.CrashedAt = 0, time.Time{}
	}
	if !f.RefusedAt.After(answered) {
		f.RefusedAt, f.FailedTrials = time.Time{}, 0
	}
	if !f.TriedAt.After(answered) {
		f.TriedAt = time.Time{}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
