package membership

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Refusals that end a process's membership; see pb.RenewLeaseReply.
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
		a.reportLease()
		timer := time.NewTimer(a.renewalInterval(granted))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-a.renewNow:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (a *Agent) renewalInterval(granted bool) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !granted {
		return a.lease.duration / failedRenewalsPerLease
	}
	return a.lease.duration / renewalsPerLease
}

// renew sends one renewal. An error is permanent; failed renewals return false.
func (a *Agent) renew(ctx context.Context) (granted bool, err error) {
	a.renewalMu.Lock()
	defer a.renewalMu.Unlock()
	request, timeout := a.renewalRequest()
	if request == nil {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The lease starts before the first attempt. The leader's lease starts when
	// the renewal arrives, so it always ends later.
	sent := a.now()
	reply, err := a.client.RenewLease(ctx, request)
	if err != nil {
		a.metrics.renewals.WithLabelValues("failed").Inc()
		a.part.Debug("Renewal failed.", "err", err)
		return false, nil
	}
	a.metrics.countBytes("renew", request, reply)
	return reply.Granted, a.handleRenewalReply(sent, reply)
}

// renewalRequest returns the request and its timeout, or nil after Leave.
func (a *Agent) renewalRequest() (*pb.RenewLeaseRequest, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lease.leaving {
		return nil, 0
	}
	timeout := max(a.lease.duration/2, minRenewalTimeout)
	return &pb.RenewLeaseRequest{Instance: a.self.Proto(), AppliedIndex: a.state.Index}, timeout
}

func (a *Agent) handleRenewalReply(sent time.Time, reply *pb.RenewLeaseReply) error {
	switch {
	case reply.Refusal == refusalIncarnation:
		a.setFenced()
		a.metrics.renewals.WithLabelValues("fenced").Inc()
		return trace.Wrap(ErrFenced)
	case reply.Refusal == refusalMalformed:
		a.setFenced()
		return trace.BadParameter("the control group can't take this instance's description")
	case !reply.Granted:
		a.metrics.renewals.WithLabelValues("refused").Inc()
		a.part.Warn("Renewal refused.", "refusal", reply.Refusal)
		return nil
	}
	a.metrics.renewals.WithLabelValues("granted").Inc()
	cancelPull := a.recordGrant(sent, reply)
	if cancelPull != nil {
		// The control instance that answers pulls seems partitioned from the
		// leader: it would hold the long poll open while this daemon lags behind.
		//
		// The client must be called without holding mu: it reads the control
		// addresses from State. With mu held, the daemon deadlocked as soon as its
		// state lagged.
		a.client.UseOtherInstance()
		cancelPull()
	}
	return nil
}

// recordGrant records a granted renewal. If the state lags behind, it returns the
// function that cancels the current pull, and otherwise nil.
func (a *Agent) recordGrant(sent time.Time, reply *pb.RenewLeaseReply) context.CancelFunc {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joined = true
	a.lease.grant(sent, now, time.Duration(reply.LeaseMs)*time.Millisecond, reply.CommitIndex)
	if !a.lease.lagging(now) || a.cancelPull == nil {
		return nil
	}
	a.lease.laggingSince = now
	return a.cancelPull
}

func (a *Agent) setFenced() {
	a.mu.Lock()
	a.lease.fenced = true
	a.mu.Unlock()
	a.part.Error("The control group has fenced this incarnation.")
	a.record(timeline.Event{Kind: timeline.KindLeaseLost, Detail: "fenced"})
}

// reportLease logs and records whether the lease was lost or gained since the
// last renewal.
func (a *Agent) reportLease() {
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
