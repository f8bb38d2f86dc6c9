package membership

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// SetDraining makes this instance draining for good and tells the control
// group at once.
func (a *Agent) SetDraining() {
	a.mu.Lock()
	a.self.Draining = true
	a.mu.Unlock()
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// Joined tells whether the control group has ever granted this process a
// lease. From then on other entries may name it to callers, though its own
// state may not show it yet.
func (a *Agent) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joined
}

// HandedOver tells whether no ledger group counts on this process: neither as
// a replica nor as a source of one that still copies. A group that has no
// entry left to take its place doesn't count: waiting would help nobody.
func (a *Agent) HandedOver() bool {
	self := a.Self().Owner()
	state := a.State()
	for _, g := range state.Groups {
		whole := true
		for _, r := range g.Replicas {
			if r.Owner == self {
				if hasSpare(state.View, g) {
					return false
				}
				continue
			}
			whole = whole && r.Ready
		}
		if whole {
			continue
		}
		for _, r := range g.Sources {
			if r.Owner == self {
				return false
			}
		}
	}
	return true
}

// hasSpare tells whether an entry in the group's zones is not yet a replica.
func hasSpare(view fleet.View, g fleet.LedgerGroup) bool {
	members := make(map[fleet.Owner]struct{}, len(g.Replicas))
	for _, r := range g.Replicas {
		members[r.Owner] = struct{}{}
	}
	for _, i := range view.Entries(fleet.ParseZoneClass(g.Shard.ZoneClass)) {
		if _, member := members[i.Owner()]; !member {
			return true
		}
	}
	return false
}

// AwaitHandover waits until the ledger groups of a draining instance are whole
// without it. It gives ctx's error when that comes first, as it must when no
// other entry is there to take over.
func (a *Agent) AwaitHandover(ctx context.Context) error {
	for {
		changed := a.Changed()
		if a.HandedOver() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Leave ends the lease of a planned stop. Current is false from now on, and
// nothing renews any more. Without an answer the lease ends by itself.
func (a *Agent) Leave(ctx context.Context) error {
	a.renewing.Lock()
	defer a.renewing.Unlock()
	a.mu.Lock()
	a.lease.leaving = true
	request := &pb.RenewLeaseRequest{Instance: a.self.Proto(), AppliedIndex: a.state.Index, Leaving: true}
	a.mu.Unlock()
	_, err := a.client.RenewLease(ctx, request)
	return trace.Wrap(err)
}
