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

// The bounds of the watch over done orders.
const (
	watchEvery  = 2 * time.Second
	watchFor    = 10 * time.Minute
	maxWatched  = 1024
	maxWatchers = 8
	maxAgain    = 5 // times that an order is issued again
)

// watch keeps an issuer's done orders at endpoints that ignore tokens in sight.
//
// Failure: an issuer is frozen right before its send, a newer order is waited
// out, given and read back, and then the frozen one wakes and its order is
// obeyed. Its own process can't mend that, since the fleet has given it up and
// it gets no token. It shows as an endpoint that does something else than the
// newest order says, for good. The guard holds because the newer issuer reads
// the endpoint again and again for watchFor, and while its token is still the
// newest, issues its order anew.
type watch struct {
	mu   sync.Mutex
	done map[fleet.EndpointID]watched
}

type watched struct {
	target engine.Target
	want   Want
	order  string // the idempotency key of the newest token
	until  time.Time
	again  int
}

// note begins the watch over an endpoint's newest order.
func (w *watch) note(one watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(map[fleet.EndpointID]watched)
	}
	if _, known := w.done[one.target.ID]; known || len(w.done) < maxWatched {
		w.done[one.target.ID] = one
	}
}

func (w *watch) drop(one watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[one.target.ID].order == one.order {
		delete(w.done, one.target.ID)
	}
}

// due lists what is watched, without what has been so for long enough.
func (w *watch) due(now time.Time) []watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []watched
	for id, one := range w.done {
		if !now.Before(one.until) {
			delete(w.done, id)
			continue
		}
		due = append(due, one)
	}
	return due
}

// Watch issues done orders again that an older one has undone, until ctx ends.
func (i *Issuer) Watch(ctx context.Context) error {
	timer := time.NewTicker(watchEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			i.watchOnce(ctx)
		}
	}
}

func (i *Issuer) watchOnce(ctx context.Context) {
	due := make(chan watched)
	var workers sync.WaitGroup
	for range maxWatchers {
		workers.Go(func() {
			for one := range due {
				if err := i.mend(ctx, one); err != nil {
					i.part.Debug("Order not watched.", "order", one.order, "endpoint", one.target.ID, "err", err)
				}
			}
		})
	}
	for _, one := range i.watch.due(i.now()) {
		due <- one
	}
	close(due)
	workers.Wait()
}

// mend issues one order again if the endpoint doesn't show it and no newer one
// was issued.
func (i *Issuer) mend(ctx context.Context, one watched) error {
	state, err := i.stateOf(ctx, one.target)
	if err != nil {
		return trace.Wrap(err)
	}
	if state.Incarnation != one.target.Incarnation {
		i.watch.drop(one) // a new process has what its own settings give it
		return nil
	}
	if one.want.metBy(state) {
		return nil
	}
	reply, err := i.ask(ctx, one.target, one.want, one.order)
	if err != nil {
		return trace.Wrap(err)
	}
	if reply.GetRecord() == nil || reply.GetNewest().GetToken() != reply.GetRecord().GetToken() || one.again >= maxAgain {
		i.watch.drop(one)
		return nil
	}
	again := one.want
	again.ID = fmt.Sprintf("%s/again-%d", one.want.ID, reply.GetRecord().GetToken())
	i.part.Warn("An older order has undone a newer one; issuing that again.", "endpoint", one.target.ID, "order", again.ID)
	outcome, err := i.Run(ctx, one.target, again)
	if err == nil && outcome == OutcomeDone {
		i.watch.again(one)
	}
	return err
}

// again counts a repeat in the watch that it has begun.
func (w *watch) again(before watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, ok := w.done[before.target.ID]
	if !ok {
		return
	}
	one.again = before.again + 1
	one.want.ID = before.want.ID // else the key grows with each repeat
	w.done[before.target.ID] = one
}

func (i *Issuer) stateOf(ctx context.Context, target engine.Target) (engineapi.Announcement, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return i.endpoints.State(ctx, target)
}

// ask commits an order under a key, or asks for it again.
func (i *Issuer) ask(ctx context.Context, target engine.Target, want Want, order string) (*pb.OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := i.source.Self()
	return i.control.Order(ctx, &pb.IssueOrder{
		OrderId:           order,
		EndpointId:        string(target.ID),
		Kind:              want.kind(),
		Model:             want.Model.Model,
		Version:           want.Model.Version,
		Adapter:           want.Model.Adapter,
		Role:              string(want.Role),
		IssuerInstance:    string(self.ID),
		IssuerIncarnation: uint64(self.Incarnation),
	})
}
