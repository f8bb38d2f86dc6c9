package membership

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// The refusals that end a process's membership; see pb.RenewLeaseReply.
const (
	refusalIncarnation = "incarnation"
	refusalMalformed   = "malformed"
)

func (a *Agent) renewLoop(ctx context.Context) error {
	for {
		granted, err := a.renew(ctx)
		if err != nil {
			return err
		}
		a.noteLease()
		timer := time.NewTimer(a.renewEvery(granted))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-a.kick:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (a *Agent) renewEvery(granted bool) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !granted {
		return a.lease.length / retriesPerLease
	}
	return a.lease.length / renewalsPerLease
}

// renew sends one renewal. Its error is final.
func (a *Agent) renew(ctx context.Context) (granted bool, err error) {
	a.renewing.Lock()
	defer a.renewing.Unlock()
	request, timeout := a.renewal()
	if request == nil {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The lease counts from before the first try: the leader's own count
	// begins when the renewal arrives, so it always ends later.
	sent := a.now()
	reply, err := a.client.RenewLease(ctx, request)
	if err != nil {
		a.metrics.renewals.WithLabelValues("failed").Inc()
		a.part.Debug("Renewal failed.", "err", err)
		return false, nil
	}
	a.metrics.count("renew", request, reply)
	return reply.Granted, a.renewed(sent, reply)
}

// renewal gives the request; nil when leaving.
func (a *Agent) renewal() (*pb.RenewLeaseRequest, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lease.leaving {
		return nil, 0
	}
	timeout := max(a.lease.length/2, shortestRenewal)
	return &pb.RenewLeaseRequest{Instance: a.self.Proto(), AppliedIndex: a.state.Index}, timeout
}

func (a *Agent) renewed(sent time.Time, reply *pb.RenewLeaseReply) error {
	switch {
	case reply.Refusal == refusalIncarnation:
		a.fence()
		a.metrics.renewals.WithLabelValues("fenced").Inc()
		return trace.Wrap(ErrFenced)
	case reply.Refusal == refusalMalformed:
		a.fence()
		return trace.BadParameter("the control group can't take this instance's description")
	case !reply.Granted:
		a.metrics.renewals.WithLabelValues("refused").Inc()
		a.part.Warn("Renewal refused.", "refusal", reply.Refusal)
		return nil
	}
	a.metrics.renewals.WithLabelValues("granted").Inc()
	cancelPull := a.granted(sent, reply)
	if cancelPull != nil {
		// The member that answers pulls is cut off from the leader: it would
		// hold the poll open while this daemon falls behind.
		//
		// The client is called without the lock: it asks for the control
		// addresses, which are read from State. Called with it, the daemon hung
		// for good in the moment that its poll fell behind.
		a.client.Elsewhere()
		cancelPull()
	}
	return nil
}

// granted takes a granted renewal and gives the pull to cancel when the state
// lags behind it.
func (a *Agent) granted(sent time.Time, reply *pb.RenewLeaseReply) context.CancelFunc {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joined = true
	a.lease.grant(sent, now, time.Duration(reply.LeaseMs)*time.Millisecond, reply.CommitIndex)
	if !a.lease.lagging(now) || a.cancelPull == nil {
		return nil
	}
	a.lease.behindSince = now
	return a.cancelPull
}

func (a *Agent) fence() {
	a.mu.Lock()
	a.lease.fenced = true
	a.mu.Unlock()
	a.part.Error("This incarnation has lost its place in the fleet.")
	a.record(timeline.Event{Kind: timeline.KindLeaseLost, Detail: "fenced"})
}

// noteLease tells of a lease that was lost or won since the last renewal.
func (a *Agent) noteLease() {
	now := a.now()
	a.mu.Lock()
	current := a.lease.current(now)
	was := a.wasCurrent
	a.wasCurrent = current
	a.mu.Unlock()
	switch {
	case was && !current:
		a.part.Warn("Not current: no requests are taken.")
		a.record(timeline.Event{Kind: timeline.KindLeaseLost, Detail: "not current"})
	case !was && current:
		a.part.Info("Current.")
	}
}
