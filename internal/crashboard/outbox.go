package crashboard

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The bounds of reports.
const (
	// reportPace is how long a report waits for others: an endpoint that dies takes up to
	// some dozens of an entry's requests with it.
	reportPace = 5 * time.Millisecond
	// reportTimeout bounds one call. A control instance answers within milliseconds; one
	// that doesn't is frozen or cut off.
	reportTimeout = 400 * time.Millisecond
	// reportTries is how often an instance is told, retryPause the wait between: one that
	// is restarted takes a moment. Others have it meanwhile.
	reportTries = 3
	retryPause  = 150 * time.Millisecond
	// mostWaiting bounds the losses that wait for one control instance.
	mostWaiting = 1024
)

// outbox is what waits for one control instance. Each has its own, so that one that is
// frozen holds up no other. It is guarded by Client.mu.
type outbox struct {
	waiting *pb.ReportCrashesRequest // nil for nothing
	sending bool
}

// report adds to what goes to each member. It is called with c.mu held.
func (c *Client) report(members []string, add func(r *pb.ReportCrashesRequest)) {
	for _, member := range members {
		c.reportTo(member, add)
	}
}

// reportTo adds to what goes to one member. It is called with c.mu held.
func (c *Client) reportTo(member string, add func(r *pb.ReportCrashesRequest)) {
	box := c.boxes[member]
	if box == nil {
		box = &outbox{}
		c.boxes[member] = box
	}
	if box.waiting == nil {
		box.waiting = &pb.ReportCrashesRequest{}
	}
	if len(box.waiting.Losses) < mostWaiting {
		add(box.waiting)
	}
	if !box.sending {
		box.sending = true
		go c.send(member, box)
	}
}

// send sends what waits for a member until nothing does.
func (c *Client) send(member string, box *outbox) {
	for {
		time.Sleep(reportPace)
		report := c.takeReport(member, box)
		if report == nil {
			return
		}
		c.tell(member, report)
	}
}

// takeReport gives what waits, and ends the use of an outbox in which nothing does.
func (c *Client) takeReport(member string, box *outbox) *pb.ReportCrashesRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := box.waiting
	box.waiting = nil
	if report == nil {
		delete(c.boxes, member)
	}
	return report
}

func (c *Client) tell(member string, report *pb.ReportCrashesRequest) {
	var err error
	for try := range reportTries {
		if try > 0 {
			time.Sleep(retryPause)
		}
		if err = c.call(member, report); err == nil {
			return
		}
	}
	c.metrics.unreported.Inc()
	c.options.Part.Info("A control instance did not take a report.", "member", member, "losses", len(report.Losses),
		"answered", len(report.Answered), "known", len(report.Known), "err", err)
}

func (c *Client) call(member string, report *pb.ReportCrashesRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	conn, err := c.options.Dialer.Conn(ctx, member)
	if err != nil {
		return err
	}
	_, err = pb.NewDRPCCrashBoardClient(conn).ReportCrashes(ctx, report)
	return err
}
