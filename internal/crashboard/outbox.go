package crashboard

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Limits of reports.
const (
	// reportBatchDelay is how long a report waits for others: an endpoint that dies ends up to
	// some dozens of an entry's requests.
	reportBatchDelay = 5 * time.Millisecond
	// reportTimeout limits one call. A control instance answers within milliseconds; one that
	// doesn't is frozen or unreachable.
	reportTimeout = 400 * time.Millisecond
	// maxReportAttempts is how often a report is sent to one instance, with reportRetryDelay in
	// between: a restart takes a moment. The other instances receive the report meanwhile.
	maxReportAttempts = 3
	reportRetryDelay  = 150 * time.Millisecond
	// maxQueuedLosses limits the losses that are queued for one control instance.
	maxQueuedLosses = 1024
)

// outbox queues the reports to one control instance. Each instance has its own, so that a frozen
// one delays no other. It is guarded by Client.mu.
type outbox struct {
	pending *pb.ReportCrashesRequest // nil if empty
	sending bool
}

// enqueueForAll adds to the pending report to each member. The caller holds c.mu.
func (c *Client) enqueueForAll(members []string, add func(r *pb.ReportCrashesRequest)) {
	for _, member := range members {
		c.enqueue(member, add)
	}
}

// enqueue adds to the pending report to a member, and starts sending it. Beyond maxQueuedLosses
// nothing is added. The caller holds c.mu.
func (c *Client) enqueue(member string, add func(r *pb.ReportCrashesRequest)) {
	queue := c.outboxes[member]
	if queue == nil {
		queue = &outbox{}
		c.outboxes[member] = queue
	}
	if queue.pending == nil {
		queue.pending = &pb.ReportCrashesRequest{}
	}
	if len(queue.pending.Losses)+len(queue.pending.PartsLosses) < maxQueuedLosses {
		add(queue.pending)
	}
	if !queue.sending {
		queue.sending = true
		go c.drainOutbox(member, queue)
	}
}

// drainOutbox sends the pending reports to a member until there are none.
func (c *Client) drainOutbox(member string, queue *outbox) {
	for {
		time.Sleep(reportBatchDelay)
		report := c.takePending(member, queue)
		if report == nil {
			return
		}
		c.sendWithRetries(member, report)
	}
}

// takePending returns the pending report and empties the outbox. If there is none, it removes
// the outbox and returns nil.
func (c *Client) takePending(member string, queue *outbox) *pb.ReportCrashesRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := queue.pending
	queue.pending = nil
	if report == nil {
		delete(c.outboxes, member)
	}
	return report
}

func (c *Client) sendWithRetries(member string, report *pb.ReportCrashesRequest) {
	var err error
	for attempt := range maxReportAttempts {
		if attempt > 0 {
			time.Sleep(reportRetryDelay)
		}
		if err = c.sendReport(member, report); err == nil {
			return
		}
	}
	c.metrics.failedReports.Inc()
	c.options.Part.Info("Failed to send a crash report to a control instance.", "member", member, "losses", len(report.Losses),
		"parts_losses", len(report.PartsLosses),
		"answered", len(report.Answered)+len(report.PartsAnswered), "known", len(report.Known)+len(report.KnownParts), "err", err)
}

func (c *Client) sendReport(member string, report *pb.ReportCrashesRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	conn, err := c.options.Dialer.Conn(ctx, member)
	if err != nil {
		return err
	}
	_, err = pb.NewDRPCCrashBoardClient(conn).ReportCrashes(ctx, report)
	return err
}
