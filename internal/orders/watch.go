package orders

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Limits of the watch over completed orders.
const (
	watchInterval = 2 * time.Second
	watchDuration = 10 * time.Minute
	maxWatched    = 1024 // endpoints
	maxWatchers   = 8    // concurrent checks
	maxReissues   = 5    // reissues of one order
)

// watchList holds an issuer's completed orders at endpoints that ignore tokens,
// so that they are re-checked. Safe for concurrent use.
//
// It guards against this failure: an issuer freezes directly before its send; a
// newer order waits, is sent and read back; then the frozen issuer resumes and
// the endpoint executes the older order. The older issuer can't repair that: it has
// lost its membership and gets no token. The endpoint would permanently differ
// from its newest order. Therefore the newer issuer reads the endpoint's state
// repeatedly for watchDuration, and reissues its order while its token is still
// the newest.
type watchList struct {
	mu   sync.Mutex
	done map[fleet.EndpointID]watchedOrder
}

type watchedOrder struct {
	target   engine.Target
	spec     Spec
	order    string // idempotency key of the newest token
	until    time.Time
	reissues int
}

// add adds an order, which replaces the endpoint's previous one. At maxWatched
// endpoints a further endpoint is not watched.
func (w *watchList) add(item watchedOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(map[fleet.EndpointID]watchedOrder)
	}
	if _, known := w.done[item.target.ID]; known || len(w.done) < maxWatched {
		w.done[item.target.ID] = item
	}
}

func (w *watchList) remove(item watchedOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[item.target.ID].order == item.order {
		delete(w.done, item.target.ID)
	}
}

// active returns the watched orders, after removing the expired ones.
func (w *watchList) active(now time.Time) []watchedOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	var active []watchedOrder
	for id, item := range w.done {
		if !now.Before(item.until) {
			delete(w.done, id)
			continue
		}
		active = append(active, item)
	}
	return active
}

// Watch re-checks completed orders until ctx ends, and reissues those that an
// older order has overwritten. It returns nil.
func (i *Issuer) Watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.recheckAll(ctx)
		}
	}
}

func (i *Issuer) recheckAll(ctx context.Context) {
	items := make(chan watchedOrder)
	var workers sync.WaitGroup
	for range maxWatchers {
		workers.Go(func() {
			for item := range items {
				if err := i.recheck(ctx, item); err != nil {
					i.part.Debug("Cannot re-check a completed order.", "order", item.order, "endpoint", item.target.ID, "err", err)
				}
			}
		})
	}
	for _, item := range i.watch.active(i.now()) {
		items <- item
	}
	close(items)
	workers.Wait()
}

// recheck reissues an order if the endpoint's state doesn't show it and no newer
// order was issued.
func (i *Issuer) recheck(ctx context.Context, item watchedOrder) error {
	state, err := i.stateOf(ctx, item.target)
	if err != nil {
		return trace.Wrap(err)
	}
	if state.Incarnation != item.target.Incarnation {
		i.watch.remove(item) // a new process starts from its own settings
		return nil
	}
	if item.spec.shownBy(state) {
		return nil
	}
	reply, err := i.commit(ctx, item.target, item.spec, item.order)
	if err != nil {
		return trace.Wrap(err)
	}
	if reply.GetRecord() == nil || reply.GetNewest().GetToken() != reply.GetRecord().GetToken() || item.reissues >= maxReissues {
		i.watch.remove(item)
		return nil
	}
	repeated := item.spec
	repeated.ID = fmt.Sprintf("%s/again-%d", item.spec.ID, reply.GetRecord().GetToken())
	i.part.Warn("An older order overwrote a newer one; reissuing the newer one.", "endpoint", item.target.ID, "order", repeated.ID)
	outcome, err := i.Run(ctx, item.target, repeated)
	if err == nil && outcome == OutcomeDone {
		i.watch.countReissue(item)
	}
	return err
}

// countReissue counts a reissue and restores the order's original ID.
func (w *watchList) countReissue(before watchedOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	item, ok := w.done[before.target.ID]
	if !ok {
		return
	}
	item.reissues = before.reissues + 1
	item.spec.ID = before.spec.ID // otherwise the ID would grow with each reissue
	w.done[before.target.ID] = item
}

func (i *Issuer) stateOf(ctx context.Context, target engine.Target) (engineapi.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return i.endpoints.State(ctx, target)
}

// commit commits an order under an idempotency key, or fetches it if it is
// already committed.
func (i *Issuer) commit(ctx context.Context, target engine.Target, spec Spec, order string) (*pb.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := i.source.Self()
	return i.control.Order(ctx, &pb.IssueOrder{
		OrderId:           order,
		EndpointId:        string(target.ID),
		Kind:              spec.kind(),
		Model:             spec.Model.Model,
		Version:           spec.Model.Version,
		Adapter:           spec.Model.Adapter,
		Role:              string(spec.Role),
		IssuerInstance:    string(self.ID),
		IssuerIncarnation: uint64(self.Incarnation),
	})
}
