package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// takeMargin is added to a request's longest wait to bound the call.
const takeMargin = time.Second

// Take implements Follower.
func (f *HomeClient) Take(ctx context.Context, r GrantRequest) (*Grant, *Refusal, error) {
	x := f.index.Load()
	known, ok := x.byID[r.Endpoint]
	if !ok {
		return nil, &Refusal{Status: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT}, nil
	}
	home, ok := f.options.Source.State().View.Instances[known.home.Instance]
	if !ok {
		return nil, &Refusal{Status: pb.GrantStatus_GRANT_STATUS_NOT_HOME}, nil
	}
	key := takenKey{r.Endpoint, holdKey{r.Attempt, r.Kind}}
	t := &taken{request: f.message(r), address: home.RPCAddress}
	t.request.MostAheadMs = uint64(f.mostAhead(time.Now(), x, known, r).Milliseconds())
	f.track(key, t)
	known.underway.Add(1)
	defer known.underway.Add(-1)
	return f.takeFrom(ctx, key, t, known)
}

func (f *HomeClient) message(r GrantRequest) *pb.GrantRequest {
	m := &pb.GrantRequest{
		EndpointId:     string(r.Endpoint),
		AttemptId:      string(r.Attempt),
		Owner:          f.options.Source.Self().Owner().Proto(),
		Team:           string(r.Team),
		Kind:           string(r.Kind),
		PromptTokens:   uint32(max(r.PromptTokens, 0)),
		ExpectedTokens: uint32(max(r.ExpectedTokens, 0)),
		WaitMs:         uint64(max(r.Wait, 0).Milliseconds()),
		LeadMs:         uint64(max(r.Lead, 0).Milliseconds()),
		Share:          r.Share,
		Alone:          r.Alone,
		Priority:       uint32(max(r.Priority, 0)),
		ViewNumber:     f.options.Source.State().View.Number,
	}
	if r.Model.Model != "" {
		m.Model = r.Model.String()
	}
	if r.Fingerprint != (fleet.Fingerprint{}) {
		m.Fingerprint = r.Fingerprint[:]
	}
	return m
}

func (f *HomeClient) takeFrom(ctx context.Context, key takenKey, t *taken, known *row) (*Grant, *Refusal, error) {
	wait := boundedMs(t.request.WaitMs, maxWait)
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, wait+takeMargin)
	defer cancel()
	asked := time.Now()
	reply, err := f.askGrant(ctx, t)
	if err == nil && reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		f.setAddress(t, reply.GetHomeAddress())
		asked = time.Now()
		reply, err = f.askGrant(ctx, t)
	}
	if err != nil {
		// The home may have granted: give it back, whatever it was.
		f.metrics.takes.WithLabelValues("failed").Inc()
		if caller.Err() == nil {
			f.distrust(known.home)
		}
		f.Give(Release{Grant: Grant{Endpoint: key.endpoint, Attempt: key.hold.attempt, Kind: key.hold.kind},
			Reason: pb.ReleaseReason_RELEASE_REASON_UNUSED})
		return nil, nil, trace.Wrap(err, "home of endpoint %s", key.endpoint)
	}
	f.piggyback(asked, reply.GetDigests())
	f.settled(key.hold, t.request.MostAheadMs > 0 && reply.GetStatus() == statusFull)
	// A renewal is for a slot that is held already, whatever is ahead of others.
	t.request.MostAheadMs = 0
	if reply.GetStatus() != statusGranted {
		f.metrics.takes.WithLabelValues("refused").Inc()
		f.untrack(key)
		return nil, &Refusal{Status: reply.GetStatus(), RetryAfter: boundedMs(reply.GetRetryAfterMs(), time.Hour)}, nil
	}
	f.metrics.takes.WithLabelValues("granted").Inc()
	f.keepGrant(t, asked, reply)
	return f.grantOf(key, t, known, reply), nil, nil
}

// distrust stops offering the endpoints of a home that can't be reached, until
// it answers a poll.
//
// The failure: a home is killed; its endpoints stay candidates for two seconds
// by its last digest, look emptier than the others since it no longer changes,
// and each request spends its retries on them.
func (f *HomeClient) distrust(home fleet.Owner) {
	f.metrics.distrusted.Inc()
	for _, r := range f.index.Load().byID {
		if r.home == home {
			r.distrust()
		}
	}
}

func (f *HomeClient) askGrant(ctx context.Context, t *taken) (*pb.GrantReply, error) {
	f.attemptsMu.Lock()
	address := t.address
	f.attemptsMu.Unlock()
	client, err := f.client(ctx, address)
	if err != nil {
		return nil, err
	}
	return client.Grant(ctx, t.request)
}

func (f *HomeClient) setAddress(t *taken, address string) {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	t.address = address
}

// keepGrant notes until when work may begin. The home counts from its grant,
// which came no sooner than the question and its time in the queue; so this
// daemon's end of the grant is never after the home's.
func (f *HomeClient) keepGrant(t *taken, asked time.Time, reply *pb.GrantReply) {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	t.expires = asked.Add(boundedMs(reply.GetQueuedMs(), maxWait) + boundedMs(reply.GetExpiresMs(), maxWait))
	t.renewed = time.Now()
	t.confirmed = t.confirmed || reply.GetConfirmed()
}

func (f *HomeClient) grantOf(key takenKey, t *taken, known *row, reply *pb.GrantReply) *Grant {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	return &Grant{
		Endpoint:    key.endpoint,
		Incarnation: fleet.Incarnation(reply.GetEndpointIncarnation()),
		Address:     known.fixed.Address,
		Zone:        known.fixed.Zone,
		Attempt:     key.hold.attempt,
		Kind:        key.hold.kind,
		ReadyIn:     boundedMs(reply.GetSlotReadyMs(), time.Hour),
		Expires:     t.expires,
	}
}
