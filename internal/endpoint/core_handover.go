package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// handover is a message to the next home of an endpoint.
type handover struct {
	address string
	message *pb.HandoverRequest
}

// A new home waits some seconds before it grants, because it can't know what
// the previous one has granted. If the previous home is alive it hands over its
// holds, and the wait is skipped. That is safe if nothing was granted between
// the two:
//
//   - The sender knew all grants itself (its own wait was over, or it received a
//     handover), and has stopped: its view names another home, and if a later
//     view names it again, it starts over like a new home.
//   - A home grants only after a heartbeat that reached it. The endpoint numbers
//     its heartbeats, and the first that reached the receiver is the next after
//     the last that reached the sender. So no third instance has received one.
//
// Where this can't be shown, the receiver waits as if there was no handover.

// handOver sends the current home what was granted here.
func (c *core) handOver(now time.Time, r *record) {
	home, ok := c.homeOf(r)
	if !ok || home.Owner() == c.self || !r.knowsAllGrants {
		return
	}
	message := &pb.HandoverRequest{
		EndpointId:          string(r.announced.ID),
		EndpointIncarnation: uint64(r.announced.Incarnation),
		HeartbeatSequence:   r.heartbeatSequence,
		Leaving:             r.leaving,
	}
	for _, h := range r.holds {
		message.Holds = append(message.Holds, h.toProto(now))
	}
	c.effects.handovers = append(c.effects.handovers, handover{address: home.RPCAddress, message: message})
}

func (h *hold) toProto(now time.Time) *pb.HandedHold {
	p := &pb.HandedHold{
		AttemptId:      string(h.key.attempt),
		Kind:           string(h.key.kind),
		Owner:          h.owner.Proto(),
		Team:           string(h.team),
		Model:          h.model,
		Alone:          h.alone,
		ExpectedTokens: uint32(max(h.expectedTokens, 0)),
		AgeMs:          uint64(max(now.Sub(h.grantedAt), 0).Milliseconds()),
		LapseMs:        uint64(max(h.expiresAt.Sub(now), 0).Milliseconds()),
		Confirmed:      h.confirmed(),
	}
	if h.fingerprint != (fleet.Fingerprint{}) {
		p.Fingerprint = h.fingerprint[:]
	}
	return p
}

// misdirectedHeartbeat handles a heartbeat that arrived here though the home is
// elsewhere: the new home has to know its number.
func (c *core) misdirectedHeartbeat(now time.Time, b engineapi.Heartbeat) {
	r, ok := c.lookup(b.Announcement.ID, b.Announcement.Incarnation)
	if !ok && b.Sequence == firstSequence {
		r, ok = c.join(now, b.Announcement)
	}
	if !ok || c.isHome(r) || b.Sequence <= r.heartbeatSequence {
		return
	}
	if b.Sequence == firstSequence {
		// No home can have granted before an incarnation's first heartbeat, and
		// this instance doesn't grant, so all grants are known.
		r.knowsAllGrants = true
	}
	if b.Sequence != r.heartbeatSequence+1 && !c.faults.anyHandover {
		// Other instances have received heartbeats meanwhile and may have
		// granted, so the grants known here may be incomplete.
		r.knowsAllGrants = false
	}
	r.heartbeatSequence = b.Sequence
	r.lastContact = now
	c.handOver(now, r)
}

// takeHandover stores a handover from the previous home. It is applied once the
// endpoint's first heartbeat here has arrived too, in either order.
func (c *core) takeHandover(now time.Time, p *pb.HandoverRequest) (accepted bool) {
	id := fleet.EndpointID(p.GetEndpointId())
	if r, ok := c.endpoints[id]; ok {
		if !c.isHome(r) {
			return false
		}
		r.applyHandover(now, p, c.faults.anyHandover)
	}
	old, there := c.handovers[id]
	if there && old.message.GetHeartbeatSequence() >= p.GetHeartbeatSequence() &&
		old.message.GetEndpointIncarnation() >= p.GetEndpointIncarnation() {
		return true
	}
	if !there && len(c.handovers) >= maxEndpoints {
		return true // the endpoint waits instead
	}
	c.handovers[id] = receivedHandover{message: p, receivedAt: now}
	if p.GetLeaving() {
		c.rememberLeft(id, fleet.Incarnation(p.GetEndpointIncarnation()))
		if r, ok := c.lookup(id, fleet.Incarnation(p.GetEndpointIncarnation())); ok {
			r.leaving = true
			c.staticVersion++
		}
	}
	return true
}

// receivedHandover is a handover kept until the endpoint's first heartbeat.
type receivedHandover struct {
	message    *pb.HandoverRequest
	receivedAt time.Time
}

// dropOldHandovers drops handovers whose endpoint never sent a heartbeat here:
// by then the wait is over anyway.
func (c *core) dropOldHandovers(now time.Time) {
	for id, h := range c.handovers {
		if now.Sub(h.receivedAt) > c.limits.SettingsLease+c.limits.GrantLife {
			delete(c.handovers, id)
		}
	}
}

// applyHandover ends the wait of r if p shows that all grants are known.
func (r *record) applyHandover(now time.Time, p *pb.HandoverRequest, anySequence bool) {
	if !r.hasHeldList || !r.heldListAt.Before(r.noGrantsBefore) || r.knowsAllGrants {
		return
	}
	if fleet.Incarnation(p.GetEndpointIncarnation()) != r.announced.Incarnation {
		return
	}
	if r.firstHeartbeatSequence != p.GetHeartbeatSequence()+1 && !anySequence {
		return
	}
	for _, h := range p.GetHolds() {
		r.applyHandedHold(now, h)
	}
	r.noGrantsBefore = r.heldListAt
}

// applyHandedHold adds a hold that the held list doesn't show and completes one
// that it does. A confirmed hold that is no longer listed has ended.
func (r *record) applyHandedHold(now time.Time, p *pb.HandedHold) {
	key := holdKey{fleet.AttemptID(p.GetAttemptId()), fleet.EndpointRole(p.GetKind())}
	h, listed := r.holds[key]
	if _, ended := r.releasedAt[key]; ended || key.attempt == "" || len(r.holds) >= maxHeld {
		return
	}
	if !listed {
		if p.GetConfirmed() {
			return
		}
		h = &hold{key: key, expiresAt: now.Add(boundedMs(p.GetLapseMs(), maxWait))}
		r.holds[key] = h
	}
	if h.state == holdReleased {
		return
	}
	h.state = holdActive
	h.owner = fleet.OwnerFromProto(p.GetOwner())
	h.team = fleet.Team(p.GetTeam())
	h.model = p.GetModel()
	h.alone = p.GetAlone()
	h.expectedTokens = int(p.GetExpectedTokens())
	h.grantedAt = now.Add(-boundedMs(p.GetAgeMs(), time.Hour))
	h.fingerprint, _ = fleet.FingerprintFromBytes(p.GetFingerprint())
}
