package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// slotRequest is a validated grant request, in the form that the core uses.
type slotRequest struct {
	endpoint         fleet.EndpointID
	kind             fleet.EndpointRole
	attempt          fleet.AttemptID
	owner            fleet.Owner
	team             fleet.Team
	model            string
	promptTokens     int
	expectedTokens   int
	maxWait          time.Duration
	lead             time.Duration
	maxPredictedWait time.Duration // 0: no bound
	share            float64
	priority         int
	fingerprint      fleet.Fingerprint
	alone            bool
	arrived          time.Time
}

// Bounds on the values of a request.
const (
	minShare   = 0.01
	maxShare   = 1000
	maxWait    = time.Minute
	maxLead    = 10 * time.Second
	maxNameLen = 256
)

// slotRequestFromProto converts a message; ok is false if it is malformed.
func slotRequestFromProto(p *pb.GrantRequest, now time.Time) (a *slotRequest, ok bool) {
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
	fingerprint, wellFormed := fleet.FingerprintFromBytes(p.GetFingerprint())
	if !wellFormed && len(p.GetFingerprint()) > 0 {
		return nil, false
	}
	return &slotRequest{
		endpoint:         fleet.EndpointID(p.GetEndpointId()),
		kind:             kind,
		attempt:          fleet.AttemptID(p.GetAttemptId()),
		owner:            fleet.OwnerFromProto(p.GetOwner()),
		team:             fleet.Team(p.GetTeam()),
		model:            p.GetModel(),
		promptTokens:     int(p.GetPromptTokens()),
		expectedTokens:   int(p.GetExpectedTokens()),
		maxWait:          boundedMs(p.GetWaitMs(), maxWait),
		lead:             boundedMs(p.GetLeadMs(), maxLead),
		maxPredictedWait: boundedMs(p.GetMostAheadMs(), maxWait),
		share:            boundedShare(p.GetShare()),
		priority:         int(min(p.GetPriority(), 9)),
		fingerprint:      fingerprint,
		alone:            p.GetAlone(),
		arrived:          now,
	}, true
}

// boundedMs converts milliseconds to a duration of at most limit, without
// overflow.
func boundedMs(ms uint64, limit time.Duration) time.Duration {
	if ms > uint64(limit/time.Millisecond) {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// boundedShare limits a share to the range from minShare to maxShare. A share
// that is not a positive number counts as 1.
func boundedShare(share float64) float64 {
	if !(share > 0) {
		return 1
	}
	return min(max(share, minShare), maxShare)
}

func (r *slotRequest) key() holdKey { return holdKey{attempt: r.attempt, kind: r.kind} }

func (r *slotRequest) finished() FinishedWork {
	return FinishedWork{Team: r.team, Model: r.model, Kind: r.kind}
}

// response is the core's answer to a slotRequest or a slotRelease.
type response struct {
	status      pb.GrantStatus
	incarnation fleet.Incarnation
	address     string
	zone        fleet.AvailabilityZone
	expires     time.Duration // time left from now, or from the dispatch of a queued request
	readyIn     time.Duration
	retryAfter  time.Duration
	homeAddress string
	queued      time.Duration // time spent in the queue
	confirmed   bool
}

func refused(status pb.GrantStatus) response { return response{status: status} }
