package follower

import "context"

// noPoller means that no poller receives a fleet in parts.
const noPoller = -1

// fleetTransfer records which poller is receiving a large fleet in parts. The other one
// waits meanwhile: it would request the same parts, and the entry's link would carry the
// fleet twice.
type fleetTransfer struct {
	poller int
	ended  chan struct{} // closed and replaced when the transfer ends
}

func newFleetTransfer() fleetTransfer {
	return fleetTransfer{poller: noPoller, ended: make(chan struct{})}
}

// update records whether more parts follow the one that a poller has received; next is the
// poller that receives them.
func (f *fleetTransfer) update(poller, next int, more bool) {
	switch {
	case more && f.poller == noPoller:
		f.poller = next
	case !more:
		f.end(poller)
	}
}

// end ends the transfer of a poller, if it has one, and lets the other poller continue.
func (f *fleetTransfer) end(poller int) {
	if f.poller != poller {
		return
	}
	f.poller = noPoller
	close(f.ended)
	f.ended = make(chan struct{})
}

// transferPoller returns the poller that receives the rest of a fleet of which the given one
// has received a part: one that polls a near member, if there is one. It is called with f.mu
// held.
func (f *Follower) transferPoller(poller int) int {
	if f.isNear(f.polled[poller]) {
		return poller
	}
	for other, member := range f.polled {
		if f.isNear(member) {
			return other
		}
	}
	if f.preferredMember(nearPoller) != "" {
		return nearPoller
	}
	return poller
}

// awaitFleetTransfer returns when no other poller is receiving the fleet in parts.
func (f *Follower) awaitFleetTransfer(ctx context.Context, poller int) {
	for ctx.Err() == nil {
		f.mu.Lock()
		waits, ended := f.fleetTransfer.poller != noPoller && f.fleetTransfer.poller != poller, f.fleetTransfer.ended
		f.mu.Unlock()
		if !waits {
			return
		}
		awaitSignal(ctx, ended)
	}
}

func (f *Follower) endFleetTransfer(poller int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleetTransfer.end(poller)
}
