package membership

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// SetDraining marks this instance as draining permanently and reports it to the
// control group at once.
func (a *Agent) SetDraining() {
	a.mu.Lock()
	a.self.Draining = true
	a.mu.Unlock()
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// Joined reports whether the control group has ever granted this process a lease.
// From then on other entries may include it in the address lists for callers,
// even if its own state doesn't contain it yet.
func (a *Agent) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joined
}

// HandedOver reports whether no ledger group depends on this process, neither as
// a replica nor as a source for a replica that is still copying. A group without
// another entry as a replacement is ignored, since waiting for it is useless.
func (a *Agent) HandedOver() bool {
	self := a.Self().Owner()
	state := a.State()
	for _, g := range state.LedgerGroups {
		othersReady := true
		for _, r := range g.Replicas {
			if r.Owner == self {
				if hasReplacement(state.View, g) {
					return false
				}
				continue
			}
			othersReady = othersReady && r.Ready
		}
		if othersReady {
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

// hasReplacement reports whether an entry in the group's zones is not yet a
// replica.
func hasReplacement(view fleet.View, g fleet.LedgerGroup) bool {
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

// AwaitHandover waits until HandedOver returns true for a draining instance. It
// returns the error of ctx if that ends first.
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

// Leave ends the lease at a planned stop. From then on Current returns false and
// the lease is not renewed. If the control group doesn't answer, the lease expires.
func (a *Agent) Leave(ctx context.Context) error {
	a.renewalMu.Lock()
	defer a.renewalMu.Unlock()
	a.mu.Lock()
	a.lease.leaving = true
	request := &pb.RenewLeaseRequest{Instance: a.self.Proto(), AppliedIndex: a.state.Index, Leaving: true}
	a.mu.Unlock()
	_, err := a.client.RenewLease(ctx, request)
	return trace.Wrap(err)
}
