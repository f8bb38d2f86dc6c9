package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// acquireCallMargin is added to a request's maximum wait to bound the call.
const acquireCallMargin = time.Second

// Acquire implements Follower.
func (c *HomeClient) Acquire(ctx context.Context, r GrantRequest) (*Grant, *Refusal, error) {
	x := c.index.Load()
	target, ok := x.byID[r.Endpoint]
	if !ok {
		return nil, &Refusal{Status: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT}, nil
	}
	home, ok := c.options.Source.State().View.Instances[target.home.Instance]
	if !ok {
		return nil, &Refusal{Status: pb.GrantStatus_GRANT_STATUS_NOT_HOME}, nil
	}
	key := slotKey{r.Endpoint, holdKey{r.Attempt, r.Kind}}
	t := &trackedSlot{request: c.grantMessage(r), address: home.RPCAddress}
	t.request.MostAheadMs = uint64(c.maxPredictedWait(time.Now(), x, target, r).Milliseconds())
	c.track(key, t)
	target.inFlight.Add(1)
	defer target.inFlight.Add(-1)
	return c.acquireFrom(ctx, key, t, target)
}

func (c *HomeClient) grantMessage(r GrantRequest) *pb.GrantRequest {
	m := &pb.GrantRequest{
		EndpointId:     string(r.Endpoint),
		AttemptId:      string(r.Attempt),
		Owner:          c.options.Source.Self().Owner().Proto(),
		Team:           string(r.Team),
		Kind:           string(r.Kind),
		PromptTokens:   uint32(max(r.PromptTokens, 0)),
		ExpectedTokens: uint32(max(r.ExpectedTokens, 0)),
		WaitMs:         uint64(max(r.MaxWait, 0).Milliseconds()),
		LeadMs:         uint64(max(r.Lead, 0).Milliseconds()),
		Share:          r.Share,
		Alone:          r.Alone,
		Priority:       uint32(max(r.Priority, 0)),
		ViewNumber:     c.options.Source.State().View.Number,
	}
	if r.Model.Model != "" {
		m.Model = r.Model.String()
	}
	if r.Fingerprint != (fleet.Fingerprint{}) {
		m.Fingerprint = r.Fingerprint[:]
	}
	return m
}

func (c *HomeClient) acquireFrom(ctx context.Context, key slotKey, t *trackedSlot, target *followedEndpoint) (*Grant, *Refusal, error) {
	wait := boundedMs(t.request.WaitMs, maxWait)
	callerCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+acquireCallMargin)
	defer cancel()
	sentAt := time.Now()
	reply, err := c.requestGrant(ctx, t)
	if err == nil && reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		c.setAddress(t, reply.GetHomeAddress())
		sentAt = time.Now()
		reply, err = c.requestGrant(ctx, t)
	}
	if err != nil {
		// The home may have granted the slot: release it in any case.
		c.metrics.acquisitions.WithLabelValues("failed").Inc()
		if callerCtx.Err() == nil {
			c.markHomeStale(target.home)
		}
		c.Release(Release{Grant: Grant{Endpoint: key.endpoint, Attempt: key.hold.attempt, Kind: key.hold.kind},
			Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		return nil, nil, trace.Wrap(err, "home of endpoint %s", key.endpoint)
	}
	c.applyPiggybacked(sentAt, reply.GetDigests())
	c.recordOutcome(key.hold, t.request.MostAheadMs > 0 && reply.GetStatus() == statusFull)
	// A renewal is for a slot that is already held, so the wait bound doesn't
	// apply.
	t.request.MostAheadMs = 0
	if reply.GetStatus() != statusGranted {
		c.metrics.acquisitions.WithLabelValues("refused").Inc()
		c.untrack(key)
		return nil, &Refusal{Status: reply.GetStatus(), RetryAfter: boundedMs(reply.GetRetryAfterMs(), time.Hour)}, nil
	}
	c.metrics.acquisitions.WithLabelValues("granted").Inc()
	c.storeGrant(t, sentAt, reply)
	return c.grantOf(key, t, target, reply), nil, nil
}

// markHomeStale removes the endpoints of an unreachable home from the
// candidates until it answers a poll.
//
// Otherwise, after a home was killed, its endpoints would stay candidates for
// two seconds by its last digest. They would look emptier than the others since
// the digest no longer changes, and each request would spend its retries on
// them.
func (c *HomeClient) markHomeStale(home fleet.Owner) {
	c.metrics.staleHomes.Inc()
	for _, r := range c.index.Load().byID {
		if r.home == home {
			r.markStale()
		}
	}
}

func (c *HomeClient) requestGrant(ctx context.Context, t *trackedSlot) (*pb.GrantReply, error) {
	c.slotsMu.Lock()
	address := t.address
	c.slotsMu.Unlock()
	client, err := c.client(ctx, address)
	if err != nil {
		return nil, err
	}
	return client.Grant(ctx, t.request)
}

func (c *HomeClient) setAddress(t *trackedSlot, address string) {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	t.address = address
}

// storeGrant records until when work may start. The home counts from its grant,
// which came no sooner than the request plus the time in the queue. So the
// grant never ends later here than at the home.
func (c *HomeClient) storeGrant(t *trackedSlot, sentAt time.Time, reply *pb.GrantReply) {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	t.expiresAt = sentAt.Add(boundedMs(reply.GetQueuedMs(), maxWait) + boundedMs(reply.GetExpiresMs(), maxWait))
	t.renewedAt = time.Now()
	t.confirmed = t.confirmed || reply.GetConfirmed()
}

func (c *HomeClient) grantOf(key slotKey, t *trackedSlot, target *followedEndpoint, reply *pb.GrantReply) *Grant {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	return &Grant{
		Endpoint:    key.endpoint,
		Incarnation: fleet.Incarnation(reply.GetEndpointIncarnation()),
		Address:     target.static.Address,
		Zone:        target.static.Zone,
		Attempt:     key.hold.attempt,
		Kind:        key.hold.kind,
		ReadyIn:     boundedMs(reply.GetSlotReadyMs(), time.Hour),
		Expires:     t.expiresAt,
	}
}
