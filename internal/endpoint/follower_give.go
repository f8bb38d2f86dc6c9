package endpoint

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// give is one release on its way.
type give struct {
	request *pb.ReleaseRequest
	address string
	until   time.Time
	row     *row
}

const (
	giveCall     = 500 * time.Millisecond
	giveFirst    = 20 * time.Millisecond
	giveLongest  = 400 * time.Millisecond
	giveLifetime = 2 // grant lives after which the home has seen for itself
)

// Give implements Follower.
func (f *HomeClient) Give(r Release) {
	key := takenKey{r.Grant.Endpoint, holdKey{r.Grant.Attempt, r.Grant.Kind}}
	t := f.untrack(key)
	if t == nil {
		return // given back before
	}
	limits := limitsFrom(f.options.Source.State().Tree)
	g := give{
		request: f.releaseMessage(r, t),
		address: t.address,
		until:   time.Now().Add(giveLifetime * limits.GrantLife),
		row:     f.index.Load().byID[r.Grant.Endpoint],
	}
	if g.row != nil {
		g.row.underway.Add(-1)
	}
	select {
	case f.gives <- g:
	default:
		// The home frees it when the endpoint lists it no more.
		g.settle()
		f.metrics.droppedGives.Inc()
	}
}

func (f *HomeClient) releaseMessage(r Release, t *taken) *pb.ReleaseRequest {
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

// settle ends the correction that stood for g.
func (g give) settle() {
	if g.row != nil {
		g.row.underway.Add(1)
	}
}

func (f *HomeClient) giveLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			f.giveRest()
			return
		case g := <-f.gives:
			f.giveUntilConfirmed(ctx, g)
		}
	}
}

// giveRest sends what still waits once, when the daemon stops: its calls no
// longer end with the loop's context, but all of them together within giveCall.
func (f *HomeClient) giveRest() {
	ctx, cancel := context.WithTimeout(context.Background(), giveCall)
	defer cancel()
	for {
		select {
		case g := <-f.gives:
			f.giveOnce(ctx, &g)
			g.settle()
		default:
			return
		}
	}
}

func (f *HomeClient) giveUntilConfirmed(ctx context.Context, g give) {
	defer g.settle()
	pause := giveFirst
	for time.Now().Before(g.until) {
		if f.giveOnce(ctx, &g) {
			return
		}
		if ctx.Err() != nil {
			break
		}
		sleep.For(ctx, pause)
		pause = min(2*pause, giveLongest)
	}
	f.metrics.droppedGives.Inc()
}

// giveOnce tells whether the home has freed the slot or doesn't have it.
func (f *HomeClient) giveOnce(ctx context.Context, g *give) bool {
	ctx, cancel := context.WithTimeout(ctx, giveCall)
	defer cancel()
	asked := time.Now()
	client, err := f.client(ctx, g.address)
	if err != nil {
		return false
	}
	reply, err := client.Release(ctx, g.request)
	if err != nil {
		g.address = f.homeNow(g)
		return false
	}
	f.piggyback(asked, reply.GetDigests())
	if reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		g.address = reply.GetHomeAddress()
		return false
	}
	return true
}

// homeNow gives the address to try next: an unreachable home may have been
// replaced.
func (f *HomeClient) homeNow(g *give) string {
	if g.row == nil {
		return g.address
	}
	home, ok := fleet.HomeOf(g.row.fixed.ID, g.row.fixed.Zone, f.options.Source.State().View)
	if !ok {
		return g.address
	}
	return home.RPCAddress
}

// renewLoop renews grants that the endpoint has not yet reported, such as a
// decode slot that waits for a long prefill.
func (f *HomeClient) renewLoop(ctx context.Context) {
	limit := make(chan struct{}, maxRenewWorker)
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for key, t := range f.dueRenewals(time.Now()) {
			select {
			case limit <- struct{}{}:
				go func() {
					f.renew(ctx, key, t)
					<-limit
				}()
			case <-ctx.Done():
				return
			}
		}
	}
}

func (f *HomeClient) dueRenewals(now time.Time) map[takenKey]*taken {
	life := limitsFrom(f.options.Source.State().Tree).GrantLife
	due := make(map[takenKey]*taken)
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	for key, t := range f.attempts {
		if t.renewed.IsZero() || t.confirmed || t.refused {
			continue
		}
		if now.Sub(t.renewed) >= life/2 {
			t.renewed = now
			due[key] = t
		}
	}
	return due
}

func (f *HomeClient) renew(ctx context.Context, key takenKey, t *taken) {
	ctx, cancel := context.WithTimeout(ctx, giveCall)
	defer cancel()
	f.metrics.renewals.Inc()
	asked := time.Now()
	reply, err := f.askGrant(ctx, t)
	if err != nil {
		f.options.Part.Debug("Grant not renewed.", "endpoint", key.endpoint, "err", err)
		return
	}
	if reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_NOT_HOME && reply.GetHomeAddress() != "" {
		f.setAddress(t, reply.GetHomeAddress())
		return
	}
	if reply.GetStatus() == statusGranted {
		f.keepGrant(t, asked, reply)
		return
	}
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	t.refused = true
}
