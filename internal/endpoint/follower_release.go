package endpoint

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// pendingRelease is a release that the home has not confirmed yet.
type pendingRelease struct {
	request  *pb.ReleaseRequest
	address  string
	deadline time.Time
	endpoint *followedEndpoint
}

const (
	slotCallTimeout        = 500 * time.Millisecond
	minReleasePause        = 20 * time.Millisecond
	maxReleasePause        = 400 * time.Millisecond
	releaseRetryGrantLives = 2 // grant lifetimes; by then the home knows from held lists
)

// Release implements Follower.
func (c *HomeClient) Release(r Release) {
	key := slotKey{r.Grant.Endpoint, holdKey{r.Grant.Attempt, r.Grant.Kind}}
	t := c.untrack(key)
	if t == nil {
		return // already released
	}
	limits := limitsFrom(c.options.Source.State().Tree)
	g := pendingRelease{
		request:  c.releaseMessage(r, t),
		address:  t.address,
		deadline: time.Now().Add(releaseRetryGrantLives * limits.GrantLife),
		endpoint: c.index.Load().byID[r.Grant.Endpoint],
	}
	if g.endpoint != nil {
		g.endpoint.inFlight.Add(-1)
	}
	select {
	case c.releases <- g:
	default:
		// The home frees the slot when the endpoint no longer lists it.
		g.endCorrection()
		c.metrics.droppedReleases.Inc()
	}
}

func (c *HomeClient) releaseMessage(r Release, t *trackedSlot) *pb.ReleaseRequest {
	return &pb.ReleaseRequest{
		EndpointId:   string(r.Grant.Endpoint),
		AttemptId:    string(r.Grant.Attempt),
		Owner:        t.request.Owner,
		Reason:       r.Reason,
		OutputTokens: uint32(max(r.OutputTokens, 0)),
		BusyMs:       uint64(max(r.Busy, 0).Milliseconds()),
		Fingerprint:  t.request.Fingerprint,
		Kind:         string(r.Grant.Kind),
	}
}

// endCorrection ends the correction of inFlight for g.
func (g pendingRelease) endCorrection() {
	if g.endpoint != nil {
		g.endpoint.inFlight.Add(1)
	}
}

func (c *HomeClient) releaseLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			c.releaseRemaining()
			return
		case g := <-c.releases:
			c.releaseUntilConfirmed(ctx, g)
		}
	}
}

// releaseRemaining sends each remaining release once when the daemon stops. Its
// calls don't end with the loop's context, but all of them together within
// releaseTimeout.
func (c *HomeClient) releaseRemaining() {
	ctx, cancel := context.WithTimeout(context.Background(), slotCallTimeout)
	defer cancel()
	for {
		select {
		case g := <-c.releases:
			c.releaseOnce(ctx, &g)
			g.endCorrection()
		default:
			return
		}
	}
}

func (c *HomeClient) releaseUntilConfirmed(ctx context.Context, g pendingRelease) {
	defer g.endCorrection()
	pause := minReleasePause
	for time.Now().Before(g.deadline) {
		if c.releaseOnce(ctx, &g) {
			return
		}
		if ctx.Err() != nil {
			break
		}
		sleep.For(ctx, pause)
		pause = min(2*pause, maxReleasePause)
	}
	c.metrics.droppedReleases.Inc()
}

// releaseOnce reports whether the home has freed the slot or doesn't have it.
func (c *HomeClient) releaseOnce(ctx context.Context, g *pendingRelease) bool {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	sentAt := time.Now()
	client, err := c.client(ctx, g.address)
	if err != nil {
		return false
	}
	reply, err := client.Release(ctx, g.request)
	if err != nil {
		g.address = c.currentHomeAddress(g)
		return false
	}
	c.applyPiggybacked(sentAt, reply.GetDigests())
	if reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		g.address = reply.GetHomeAddress()
		return false
	}
	return true
}

// currentHomeAddress returns the address to try next: an unreachable home may
// have been replaced.
func (c *HomeClient) currentHomeAddress(g *pendingRelease) string {
	if g.endpoint == nil {
		return g.address
	}
	home, ok := fleet.HomeOf(g.endpoint.static.ID, g.endpoint.static.Zone, c.options.Source.State().View)
	if !ok {
		return g.address
	}
	return home.RPCAddress
}

// renewLoop renews grants that the endpoint has not listed yet, such as a
// decode slot that waits for a long prefill.
func (c *HomeClient) renewLoop(ctx context.Context) {
	limit := make(chan struct{}, maxRenewWorkers)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for key, t := range c.dueRenewals(time.Now()) {
			select {
			case limit <- struct{}{}:
				go func() {
					c.renew(ctx, key, t)
					<-limit
				}()
			case <-ctx.Done():
				return
			}
		}
	}
}

func (c *HomeClient) dueRenewals(now time.Time) map[slotKey]*trackedSlot {
	life := limitsFrom(c.options.Source.State().Tree).GrantLife
	due := make(map[slotKey]*trackedSlot)
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	for key, t := range c.slots {
		if t.renewedAt.IsZero() || t.confirmed || t.refused {
			continue
		}
		if now.Sub(t.renewedAt) >= life/2 {
			t.renewedAt = now
			due[key] = t
		}
	}
	return due
}

func (c *HomeClient) renew(ctx context.Context, key slotKey, t *trackedSlot) {
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	c.metrics.renewals.Inc()
	sentAt := time.Now()
	reply, err := c.requestGrant(ctx, t)
	if err != nil {
		c.options.Part.Debug("Renewing a grant failed.", "endpoint", key.endpoint, "err", err)
		return
	}
	if reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		c.setAddress(t, reply.GetHomeAddress())
		return
	}
	if reply.GetStatus() == statusGranted {
		c.storeGrant(t, sentAt, reply)
		return
	}
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	t.refused = true
}
