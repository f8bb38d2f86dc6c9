package daemon

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// The bounds of a graceful stop.
const (
	handoverTimeout = 15 * time.Second // ledger shards copied to other replicas
	leaveTimeout    = 5 * time.Second
	closeTimeout    = 5 * time.Second
	abandonTimeout  = 2 * time.Second
	drainShown      = 2 * time.Second // until the view shows this instance draining
	// slowCallers is how long a caller may take from the last moment at which it may
	// use an address until its request is here: it connects, and its machine is busy.
	slowCallers = time.Second
)

// stop ends the daemon without cutting off a request: it leaves the address
// answers, serves for as long as callers may keep its address, finishes what
// is in flight, hands its ledger shards and homes over, and leaves the view.
//
// Failure: a caller that asked for addresses just before the stop connects
// after it and finds the port closed, or a stream ends in the middle. The
// guard holds because no new address answer names a draining instance, and
// the wait covers the longest time that an older answer may be kept.
func (d *Daemon) stop() {
	d.base.part.Info("Stopping gracefully.")
	d.base.agent.SetDraining()
	if d.entry != nil && d.base.agent.Joined() {
		d.drain()
	}
	d.handOver()
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.base.agent.Leave(leaving); err != nil {
		d.base.part.Warn("Left without telling the control group.", "err", err)
	}
	d.closeServers(closeTimeout)
}

func (d *Daemon) drain() {
	d.awaitDraining()
	d.base.part.Info("Serving until callers have dropped this address.")
	finishing, cancel := context.WithTimeout(context.Background(), d.base.file.Bounds.StreamTime)
	defer cancel()
	if err := d.entry.router.Drain(finishing); err != nil {
		d.base.part.Warn("Stopped with requests in flight.", "running", d.entry.router.RunningRequests(), "err", err)
	}
	if !d.hasSuccessor() {
		return
	}
	handing, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := d.base.agent.AwaitHandover(handing); err != nil {
		d.base.part.Warn("Left with ledger shards not handed over.", "err", err)
	}
}

// awaitDraining waits until no new address answer names this instance. The
// router then serves for as long as an older answer may be kept.
//
// Failure: an entry that learns late of the stop, on a busy machine, goes on to
// name this instance, and its callers come when it has left and are refused.
// The guard holds as an entry that hasn't learned of it within the settings
// lease gives no address answers any more.
//
// Failure: a caller on a busy machine takes an address at the end of the time for
// which it may be kept, and its call comes in some tenths of a second later, when
// this daemon has given up its lease: it is told that it isn't known whether the
// call has run. The guard holds for callers that take no longer than slowCallers.
func (d *Daemon) awaitDraining() {
	d.awaitShown()
	time.Sleep(d.settingsLease() + slowCallers)
}

// awaitShown waits until this daemon's own view shows it draining.
func (d *Daemon) awaitShown() {
	limit := time.NewTimer(drainShown)
	defer limit.Stop()
	for !d.shownDraining() {
		changed := d.base.agent.Changed()
		if d.shownDraining() {
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

func (d *Daemon) shownDraining() bool {
	return d.base.agent.State().View.Instances[d.base.self.ID].Draining
}

// hasSuccessor tells whether another entry can take over what this one holds.
func (d *Daemon) hasSuccessor() bool {
	for _, instance := range d.base.agent.State().View.Instances {
		if instance.Entry && !instance.Draining && instance.ID != d.base.self.ID {
			return true
		}
	}
	return false
}

func (d *Daemon) handOver() {
	if d.control == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	d.control.handOver(ctx)
}

// abandon ends a daemon that lost its place or a part: its requests can't go
// on, so it only lets their last events out.
func (d *Daemon) abandon() {
	if d.entry != nil {
		d.entry.router.Abort()
	}
	d.closeServers(abandonTimeout)
}

func (d *Daemon) closeServers(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	d.servers.shutdown(ctx)
}
