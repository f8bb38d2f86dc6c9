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

// A new home waits some seconds before it grants, since it can't know what the
// last one has granted. When the last home lives it tells, and the wait is
// spared. That is safe when nothing was granted between the two:
//
//   - the sender had granted with full knowledge itself (its own wait was over,
//     or it took a handover), and has stopped: its view names another home, and
//     if a later view names it again it is rebuilt like a new home;
//   - a home grants only after a heartbeat that reached it. The endpoint numbers
//     its heartbeats, and the first that reached the receiver is the next after
//     the last that reached the sender. So no third instance has had one.
//
// Where this can't be shown the receiver waits as if it had heard nothing.

// handOver tells the present home what was granted here.
func (c *core) handOver(now time.Time, r *record) {
	home, ok := c.homeOf(r)
	if !ok || home.Owner() == c.self || !r.complete {
		return
	}
	message := &pb.HandoverRequest{
		EndpointId:          string(r.announced.ID),
		EndpointIncarnation: uint64(r.announced.Incarnation),
		HeartbeatSequence:   r.sequence,
		Leaving:             r.leaving,
	}
	for _, h := range r.holds {
		message.Holds = append(message.Holds, h.handed(now))
	}
	c.out.handovers = append(c.out.handovers, handover{address: home.RPCAddress, message: message})
}

func (h *hold) handed(now time.Time) *pb.HandedHold {
	p := &pb.HandedHold{
		AttemptId:      string(h.key.attempt),
		Kind:           string(h.key.kind),
		Owner:          h.owner.Proto(),
		Team:           string(h.team),
		Model:          h.model,
		Alone:          h.alone,
		ExpectedTokens: uint32(max(h.expected, 0)),
		AgeMs:          uint64(max(now.Sub(h.granted), 0).Milliseconds()),
		LapseMs:        uint64(max(h.lapse.Sub(now), 0).Milliseconds()),
		Confirmed:      h.confirmed(),
	}
	if h.fingerprint != (fleet.Fingerprint{}) {
		p.Fingerprint = h.fingerprint[:]
	}
	return p
}

// redirected takes note of a heartbeat that came here though the home is
// elsewhere: the new home has to know of its number.
func (c *core) redirected(now time.Time, b engineapi.Heartbeat) {
	r, ok := c.known(b.Announcement.ID, b.Announcement.Incarnation)
	if !ok && b.Sequence == firstSequence {
		r, ok = c.join(now, b.Announcement)
	}
	if !ok || c.isHome(r) || b.Sequence <= r.sequence {
		return
	}
	if b.Sequence == firstSequence {
		// Nobody can have granted before an incarnation's first heartbeat, and
		// this instance doesn't: so all there is is known.
		r.complete = true
	}
	if b.Sequence != r.sequence+1 && !c.guards.anyHandover {
		// The endpoint has been elsewhere meanwhile: what is known here is no
		// longer the last word.
		r.complete = false
	}
	r.sequence = b.Sequence
	r.heard = now
	c.handOver(now, r)
}

// takeHandover keeps what the last home tells; it is used with the endpoint's
// first heartbeat here, whichever comes first.
func (c *core) takeHandover(now time.Time, p *pb.HandoverRequest) (accepted bool) {
	id := fleet.EndpointID(p.GetEndpointId())
	if r, ok := c.endpoints[id]; ok {
		if !c.isHome(r) {
			return false
		}
		r.take(now, p, c.guards.anyHandover)
	}
	old, there := c.handed[id]
	if there && old.message.GetHeartbeatSequence() >= p.GetHeartbeatSequence() &&
		old.message.GetEndpointIncarnation() >= p.GetEndpointIncarnation() {
		return true
	}
	if !there && len(c.handed) >= maxEndpoints {
		return true // the wait does instead
	}
	c.handed[id] = handedAt{message: p, at: now}
	if p.GetLeaving() {
		c.noteLeft(id, fleet.Incarnation(p.GetEndpointIncarnation()))
		if r, ok := c.known(id, fleet.Incarnation(p.GetEndpointIncarnation())); ok {
			r.leaving = true
			c.statics++
		}
	}
	return true
}

// handedAt is a handover kept until the endpoint's first heartbeat.
type handedAt struct {
	message *pb.HandoverRequest
	at      time.Time
}

// dropHanded forgets handovers whose endpoint never came: by then the wait is
// over in any case.
func (c *core) dropHanded(now time.Time) {
	for id, h := range c.handed {
		if now.Sub(h.at) > c.limits.SettingsLease+c.limits.GrantLife {
			delete(c.handed, id)
		}
	}
}

// take ends the wait of r when p shows that all grants are known.
func (r *record) take(now time.Time, p *pb.HandoverRequest, anySequence bool) {
	if !r.beat || !r.beatAt.Before(r.quiet) || r.complete {
		return
	}
	if fleet.Incarnation(p.GetEndpointIncarnation()) != r.announced.Incarnation {
		return
	}
	if r.first != p.GetHeartbeatSequence()+1 && !anySequence {
		return
	}
	for _, h := range p.GetHolds() {
		r.takeHold(now, h)
	}
	r.quiet = r.beatAt
}

// takeHold adds what the held list doesn't show and fills in what it doesn't
// say. A confirmed hold that is listed no more has ended.
func (r *record) takeHold(now time.Time, p *pb.HandedHold) {
	key := holdKey{fleet.AttemptID(p.GetAttemptId()), fleet.EndpointRole(p.GetKind())}
	h, listed := r.holds[key]
	if _, ended := r.released[key]; ended || key.attempt == "" || len(r.holds) >= maxHeld {
		return
	}
	if !listed {
		if p.GetConfirmed() {
			return
		}
		h = &hold{key: key, lapse: now.Add(boundedMs(p.GetLapseMs(), maxWait))}
		r.holds[key] = h
	}
	if h.state == holdReleased {
		return
	}
	h.state = holdFirm
	h.owner = fleet.OwnerFromProto(p.GetOwner())
	h.team = fleet.Team(p.GetTeam())
	h.model = p.GetModel()
	h.alone = p.GetAlone()
	h.expected = int(p.GetExpectedTokens())
	h.granted = now.Add(-boundedMs(p.GetAgeMs(), time.Hour))
	h.fingerprint, _ = fleet.FingerprintFromBytes(p.GetFingerprint())
}
