package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// slotRelease is a validated release of a slot.
type slotRelease struct {
	endpoint     fleet.EndpointID
	key          holdKey
	owner        fleet.Owner
	reason       pb.ReleaseReason
	outputTokens int
	busy         time.Duration
	fingerprint  fleet.Fingerprint
}

func releaseFromProto(p *pb.ReleaseRequest) (slotRelease, bool) {
	if len(p.GetEndpointId()) > maxNameLen || len(p.GetAttemptId()) > maxNameLen || p.GetAttemptId() == "" {
		return slotRelease{}, false
	}
	fingerprint, _ := fleet.FingerprintFromBytes(p.GetFingerprint())
	return slotRelease{
		endpoint:     fleet.EndpointID(p.GetEndpointId()),
		key:          holdKey{fleet.AttemptID(p.GetAttemptId()), fleet.EndpointRole(p.GetKind())},
		owner:        fleet.OwnerFromProto(p.GetOwner()),
		reason:       p.GetReason(),
		outputTokens: int(p.GetOutputTokens()),
		busy:         boundedMs(p.GetBusyMs(), time.Hour),
		fingerprint:  fingerprint,
	}, true
}

// release frees a slot at once. The status is GRANTED when done, also for a
// repeated release, and NOT_HOME if another instance is the home.
func (c *core) release(now time.Time, q slotRelease) response {
	r, ok := c.endpoints[q.endpoint]
	if !ok {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT)
	}
	if !c.isHome(r) {
		return c.notHome(r)
	}
	h, there := r.holds[q.key]
	if there && h.owner != q.owner {
		return response{status: statusGranted}
	}
	if there && h.state != holdReleased {
		c.learnFromRelease(now, r, h, q)
		c.free(now, r, h)
		c.effects.events = append(c.effects.events, timeline.Event{
			Kind: timeline.KindReleased, Endpoint: q.endpoint, Attempt: q.key.attempt, Team: h.team,
		})
	}
	if _, before := r.releasedAt[q.key]; !before {
		r.releasedAt[q.key] = now
	}
	if q.reason == pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED {
		c.endpointFailed(now, r, q)
	}
	c.dispatchQueued(now, r)
	return response{status: statusGranted}
}

func (c *core) learnFromRelease(now time.Time, r *record, h *hold, q slotRelease) {
	if q.reason != pb.ReleaseReason_RELEASE_REASON_COMPLETED {
		return
	}
	f := h.finished()
	f.OutputTokens = q.outputTokens
	f.Busy = q.busy
	if h.key.kind == fleet.RoleDecode && !h.enteredAt.IsZero() {
		startDelay := h.enteredAt.Sub(h.grantedAt)
		c.predictor.observeStartDelay(h.model, startDelay)
		f.Busy -= startDelay
	}
	c.predictor.Observe(f)
	c.predictor.observeFullLength(f, h.expectedTokens)
	c.learnPrefillTime(now, r, h)
}

// endpointFailed records which request failed and requests a probe of the
// endpoint.
func (c *core) endpointFailed(now time.Time, r *record, q slotRelease) {
	if q.fingerprint != (fleet.Fingerprint{}) && len(r.failedFingerprints) < maxSlots {
		r.failedFingerprints[q.fingerprint] = now
	}
	c.probe(now, r)
}

// probeFailed treats an endpoint incarnation as crashed. The report is delayed
// by one heartbeat interval: owners whose connections broke can still report
// what they ran, and an endpoint that is alive after all can still send a
// heartbeat.
func (c *core) probeFailed(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) {
	r, ok := c.lookup(id, incarnation)
	if !ok || !c.current || !r.crashReportAt.IsZero() {
		return
	}
	if !r.unreachable {
		r.unreachable = true
		c.staticVersion++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		c.recordEvent(timeline.KindEndpointLost, r, "", "probe failed")
	}
	for _, h := range r.holds {
		if h.fingerprint != (fleet.Fingerprint{}) && h.state != holdPending {
			r.failedFingerprints[h.fingerprint] = now
		}
	}
	r.crashReportAt = now.Add(c.limits.Heartbeat)
}

// reportCrash reports once what ran on an endpoint incarnation, and frees all
// its holds.
func (c *core) reportCrash(now time.Time, r *record) {
	id := r.announced.ID
	if c.crashed[id] >= r.announced.Incarnation {
		return
	}
	fingerprints := make(map[fleet.Fingerprint]struct{})
	for f := range r.failedFingerprints {
		fingerprints[f] = struct{}{}
	}
	for _, h := range r.holds {
		if h.fingerprint != (fleet.Fingerprint{}) && h.state != holdPending {
			fingerprints[h.fingerprint] = struct{}{}
		}
	}
	c.rememberCrash(id, r.announced.Incarnation)
	r.holds = make(map[holdKey]*hold)
	r.failedFingerprints = make(map[fleet.Fingerprint]time.Time)
	r.crashReportAt = time.Time{}
	// If the endpoint is alive after all, grants that were dropped here must
	// expire before new ones are issued.
	r.hasHeldList = false
	r.knowsAllGrants = false
	r.noGrantsBefore = later(r.noGrantsBefore, now.Add(c.limits.GrantLife))
	if len(fingerprints) == 0 {
		return
	}
	report := &pb.ReportCrash{
		EndpointId:          string(id),
		EndpointIncarnation: uint64(r.announced.Incarnation),
		UnixMs:              now.UnixMilli(),
	}
	for f := range fingerprints {
		report.Fingerprints = append(report.Fingerprints, f[:])
	}
	c.effects.crashes = append(c.effects.crashes, report)
}

func (c *core) rememberCrash(id fleet.EndpointID, incarnation fleet.Incarnation) {
	if len(c.crashed) >= maxRememberedIncarnations {
		for old := range c.crashed {
			if _, here := c.endpoints[old]; !here {
				delete(c.crashed, old)
				break
			}
		}
	}
	c.crashed[id] = incarnation
}
