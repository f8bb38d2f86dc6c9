package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// ask is a grant request as the home's core takes it.
type ask struct {
	endpoint    fleet.EndpointID
	kind        fleet.EndpointRole
	attempt     fleet.AttemptID
	owner       fleet.Owner
	team        fleet.Team
	model       string
	prompt      int
	expected    int
	wait        time.Duration
	lead        time.Duration
	mostAhead   time.Duration // 0: no bound
	share       float64
	priority    int
	fingerprint fleet.Fingerprint
	alone       bool
	arrived     time.Time
}

// Bounds on what a request may say.
const (
	minShare   = 0.01
	maxShare   = 1000
	maxWait    = time.Minute
	maxLead    = 10 * time.Second
	maxNameLen = 256
)

// askFromProto checks a message; ok is false for one that can't be meant.
func askFromProto(p *pb.GrantRequest, now time.Time) (a *ask, ok bool) {
	kind := fleet.EndpointRole(p.GetKind())
	if kind != fleet.RolePrefill && kind != fleet.RoleDecode && kind != fleet.RolePlain {
		return nil, false
	}
	names := []string{p.GetEndpointId(), p.GetAttemptId(), p.GetOwner().GetInstanceId()}
	for _, n := range names {
		if n == "" || len(n) > maxNameLen {
			return nil, false
		}
	}
	if len(p.GetTeam()) > maxNameLen || len(p.GetModel()) > maxNameLen {
		return nil, false
	}
	print, named := fleet.FingerprintFromBytes(p.GetFingerprint())
	if !named && len(p.GetFingerprint()) > 0 {
		return nil, false
	}
	return &ask{
		endpoint:    fleet.EndpointID(p.GetEndpointId()),
		kind:        kind,
		attempt:     fleet.AttemptID(p.GetAttemptId()),
		owner:       fleet.OwnerFromProto(p.GetOwner()),
		team:        fleet.Team(p.GetTeam()),
		model:       p.GetModel(),
		prompt:      int(p.GetPromptTokens()),
		expected:    int(p.GetExpectedTokens()),
		wait:        boundedMs(p.GetWaitMs(), maxWait),
		lead:        boundedMs(p.GetLeadMs(), maxLead),
		mostAhead:   boundedMs(p.GetMostAheadMs(), maxWait),
		share:       boundedShare(p.GetShare()),
		priority:    int(min(p.GetPriority(), 9)),
		fingerprint: print,
		alone:       p.GetAlone(),
		arrived:     now,
	}, true
}

// boundedMs converts without overflow.
func boundedMs(ms uint64, most time.Duration) time.Duration {
	if ms > uint64(most/time.Millisecond) {
		return most
	}
	return time.Duration(ms) * time.Millisecond
}

// boundedShare takes 1 for a share that is no positive number.
func boundedShare(share float64) float64 {
	if !(share > 0) {
		return 1
	}
	return min(max(share, minShare), maxShare)
}

func (a *ask) key() holdKey { return holdKey{attempt: a.attempt, kind: a.kind} }

func (a *ask) finished() Finished {
	return Finished{Team: a.team, Model: a.model, Kind: a.kind}
}

// answer is what the core says to an ask.
type answer struct {
	status      pb.GrantStatus
	incarnation fleet.Incarnation
	address     string
	zone        fleet.AvailabilityZone
	expires     time.Duration // from now; for a queued ask from the dispatch
	readyIn     time.Duration
	retryAfter  time.Duration
	homeAddress string
	queued      time.Duration
	confirmed   bool
}

func refused(status pb.GrantStatus) answer { return answer{status: status} }
