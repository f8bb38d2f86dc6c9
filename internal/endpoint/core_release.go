package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// releaseAsk is a slot given back.
type releaseAsk struct {
	endpoint    fleet.EndpointID
	key         holdKey
	owner       fleet.Owner
	reason      pb.ReleaseReason
	tokens      int
	busy        time.Duration
	fingerprint fleet.Fingerprint
}

func releaseFromProto(p *pb.ReleaseRequest) (releaseAsk, bool) {
	if len(p.GetEndpointId()) > maxNameLen || len(p.GetAttemptId()) > maxNameLen || p.GetAttemptId() == "" {
		return releaseAsk{}, false
	}
	print, _ := fleet.FingerprintFromBytes(p.GetFingerprint())
	return releaseAsk{
		endpoint:    fleet.EndpointID(p.GetEndpointId()),
		key:         holdKey{fleet.AttemptID(p.GetAttemptId()), fleet.EndpointRole(p.GetKind())},
		owner:       fleet.OwnerFromProto(p.GetOwner()),
		reason:      p.GetReason(),
		tokens:      int(p.GetOutputTokens()),
		busy:        boundedMs(p.GetBusyMs(), time.Hour),
		fingerprint: print,
	}, true
}

// release frees a slot at once. The status is GRANTED when done, also for a
// repeat, and NOT_HOME when another instance is home.
func (c *core) release(now time.Time, q releaseAsk) answer {
	r, ok := c.endpoints[q.endpoint]
	if !ok {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT)
	}
	if !c.isHome(r) {
		return c.notHome(r)
	}
	h, there := r.holds[q.key]
	if there && h.owner != q.owner {
		return answer{status: statusGranted}
	}
	if there && h.state != holdReleased {
		c.learn(now, r, h, q)
		c.free(now, r, h)
		c.out.events = append(c.out.events, timeline.Event{
			Kind: timeline.KindReleased, Endpoint: q.endpoint, Attempt: q.key.attempt, Team: h.team,
		})
	}
	if _, before := r.released[q.key]; !before {
		r.released[q.key] = now
	}
	if q.reason == pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED {
		c.endpointFailed(now, r, q)
	}
	c.pump(now, r)
	return answer{status: statusGranted}
}

func (c *core) learn(now time.Time, r *record, h *hold, q releaseAsk) {
	if q.reason != pb.ReleaseReason_RELEASE_REASON_COMPLETED {
		return
	}
	f := h.finished()
	f.OutputTokens = q.tokens
	f.Busy = q.busy
	if h.key.kind == fleet.RoleDecode && !h.entered.IsZero() {
		ahead := h.entered.Sub(h.granted)
		c.predictor.sawLeadIn(h.model, ahead)
		f.Busy -= ahead
	}
	c.predictor.Observe(f)
	c.predictor.sawAllowed(f, h.expected)
	c.learnService(now, r, h)
}

// endpointFailed keeps what ran and has the endpoint probed.
func (c *core) endpointFailed(now time.Time, r *record, q releaseAsk) {
	if q.fingerprint != (fleet.Fingerprint{}) && len(r.failed) < maxSlots {
		r.failed[q.fingerprint] = now
	}
	c.probe(now, r)
}

// probeFailed takes an endpoint incarnation for dead. The report waits for
// one heartbeat's time: owners whose connections broke still tell what they
// ran, and an endpoint that is alive after all still says so.
func (c *core) probeFailed(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) {
	r, ok := c.known(id, incarnation)
	if !ok || !c.current || !r.crashAt.IsZero() {
		return
	}
	if !r.silent {
		r.silent = true
		c.statics++
		c.refuseAll(r, refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT))
		c.note(timeline.KindEndpointLost, r, "", "probe failed")
	}
	for _, h := range r.holds {
		if h.fingerprint != (fleet.Fingerprint{}) && h.state != holdPromised {
			r.failed[h.fingerprint] = now
		}
	}
	r.crashAt = now.Add(c.limits.Heartbeat)
}

// died reports what ran on an endpoint incarnation, once, and frees it all.
func (c *core) died(now time.Time, r *record) {
	id := r.announced.ID
	if c.crashed[id] >= r.announced.Incarnation {
		return
	}
	prints := make(map[fleet.Fingerprint]struct{})
	for f := range r.failed {
		prints[f] = struct{}{}
	}
	for _, h := range r.holds {
		if h.fingerprint != (fleet.Fingerprint{}) && h.state != holdPromised {
			prints[h.fingerprint] = struct{}{}
		}
	}
	c.noteCrash(id, r.announced.Incarnation)
	r.holds = make(map[holdKey]*hold)
	r.failed = make(map[fleet.Fingerprint]time.Time)
	r.crashAt = time.Time{}
	// If it lives after all, grants that were forgotten here end before new
	// ones are given.
	r.beat = false
	r.complete = false
	r.quiet = later(r.quiet, now.Add(c.limits.GrantLife))
	if len(prints) == 0 {
		return
	}
	report := &pb.ReportCrash{
		EndpointId:          string(id),
		EndpointIncarnation: uint64(r.announced.Incarnation),
		UnixMs:              now.UnixMilli(),
	}
	for f := range prints {
		report.Fingerprints = append(report.Fingerprints, f[:])
	}
	c.out.crashes = append(c.out.crashes, report)
}

func (c *core) noteCrash(id fleet.EndpointID, incarnation fleet.Incarnation) {
	if len(c.crashed) >= maxCrashNotes {
		for old := range c.crashed {
			if _, here := c.endpoints[old]; !here {
				delete(c.crashed, old)
				break
			}
		}
	}
	c.crashed[id] = incarnation
}
