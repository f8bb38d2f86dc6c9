package daemon

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Time limits of the steps of a stop.
const (
	handoverTimeout     = 15 * time.Second // copying ledger shards to other replicas
	leaveTimeout        = 5 * time.Second
	closeTimeout        = 5 * time.Second
	abortTimeout        = 2 * time.Second
	drainVisibleTimeout = 2 * time.Second // until the view marks this instance as draining
	// maxCallerDelay is the time allowed between the last moment at which a caller may
	// use an address and the arrival of its request. It covers connecting and a busy
	// caller machine.
	maxCallerDelay = time.Second
)

// stop ends the daemon without cutting off a request. It removes itself from address
// answers, serves for as long as callers may cache its address, finishes the requests
// in flight, hands over its ledger shards and homes, and leaves the view.
//
// Otherwise a caller that asked for addresses just before the stop could find the port
// closed, or a stream could end in the middle. The steps prevent it because no new address
// answer names a draining instance, and the wait covers the longest time for which an
// older answer may be cached.
func (d *Daemon) stop() {
	d.base.part.Info("Stopping gracefully.")
	d.base.agent.SetDraining()
	if d.entry != nil && d.base.agent.Joined() {
		d.drain()
	}
	d.handOverLeadership()
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.base.agent.Leave(leaveCtx); err != nil {
		d.base.part.Warn("Leaving without notifying the control group.", "err", err)
	}
	d.closeServers(closeTimeout)
}

func (d *Daemon) drain() {
	d.entry.tunnels.Drain()
	d.awaitDelisted()
	d.base.part.Info("Serving until the address expires from callers' caches.")
	drainCtx, cancel := context.WithTimeout(context.Background(), d.base.config.Bounds.StreamTime)
	defer cancel()
	if err := d.entry.router.Drain(drainCtx); err != nil {
		d.base.part.Warn("Stopped with requests in flight.", "running", d.entry.router.RunningRequests(), "err", err)
	}
	d.entry.tunnels.Wait(drainCtx)
	if !d.hasSuccessor() {
		return
	}
	handoverCtx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := d.base.agent.AwaitHandover(handoverCtx); err != nil {
		d.base.part.Warn("Leaving before all ledger shards were handed over.", "err", err)
	}
}

// awaitDelisted waits until no new address answer names this instance. The router then
// serves for as long as an older answer may be cached.
//
// An entry on a busy machine may learn late of the stop and continue to name this
// instance; its callers would be refused once this instance has left. Waiting for the
// settings lease prevents that: an entry that hasn't learned of the stop by then gives
// no address answers.
//
// A caller on a busy machine may use an address at the end of the time for which it may
// be cached, so that its request arrives some tenths of a second later. If this daemon
// had released its lease by then, the caller would get the outcome "unknown". The wait
// covers callers that take no longer than maxCallerDelay.
func (d *Daemon) awaitDelisted() {
	d.awaitDrainVisible()
	time.Sleep(d.settingsLease() + maxCallerDelay)
}

// awaitDrainVisible waits until this daemon's own view marks it as draining, for at most
// drainVisibleTimeout.
func (d *Daemon) awaitDrainVisible() {
	limit := time.NewTimer(drainVisibleTimeout)
	defer limit.Stop()
	for !d.drainVisible() {
		changed := d.base.agent.Changed()
		if d.drainVisible() {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}

func (d *Daemon) settingsLease() time.Duration {
	tree := d.base.agent.State().Tree
	if tree == nil || tree.Fleet.Timeouts.SettingsLease <= 0 {
		return settings.DefaultTimeouts().SettingsLease
	}
	return tree.Fleet.Timeouts.SettingsLease
}

func (d *Daemon) drainVisible() bool {
	return d.base.agent.State().View.Instances[d.base.self.ID].Draining
}

// hasSuccessor reports whether another entry can take over the ledger shards and homes
// of this one.
func (d *Daemon) hasSuccessor() bool {
	for _, instance := range d.base.agent.State().View.Instances {
		if instance.Entry && !instance.Draining && instance.ID != d.base.self.ID {
			return true
		}
	}
	return false
}

func (d *Daemon) handOverLeadership() {
	if d.control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.control.handOverLeadership(ctx)
}

// abort ends a daemon whose incarnation was removed or whose component failed. Its
// requests can't continue; it only waits for their last events to be sent.
func (d *Daemon) abort() {
	if d.entry != nil {
		d.entry.router.Abort()
	}
	d.closeServers(abortTimeout)
}

func (d *Daemon) closeServers(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	d.servers.shutdown(ctx)
}
