package crashboard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Dialer connects to control instances.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Options configure a Client.
type Options struct {
	Dialer  Dialer
	Members func() []string // returns the addresses of the control instances
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
}

// Client holds an entry's findings. It is safe for concurrent use.
type Client struct {
	options    Options
	metrics    *clientMetrics
	knownCount atomic.Int64 // number of requests that have a finding
	partCount  atomic.Int64 // number of findings on parts of prompts

	mu       sync.Mutex // guards the fields below
	losses   *suspect.LossTracker
	marks    map[string]*pb.CrashMark // by member
	outboxes map[string]*outbox       // by member; only those with reports to send or being sent
	parts    *entryParts
}

// NewClient returns a Client without findings.
func NewClient(options Options) *Client {
	return &Client{
		options: options, metrics: newClientMetrics(options.Metrics),
		losses: suspect.NewLossTracker(suspect.DefaultLimits), marks: map[string]*pb.CrashMark{}, outboxes: map[string]*outbox{},
		parts: newEntryParts(),
	}
}

// HasFindings reports whether there is any finding. Without one, no fingerprint needs to be
// computed.
func (c *Client) HasFindings() bool { return c.knownCount.Load() > 0 }

// Refused reports whether a request is refused because it crashes endpoints, and for how
// long.
func (c *Client) Refused(f fleet.Fingerprint) (wait time.Duration, refused bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.losses.Find(f)
	if !found.Quarantined(now, suspect.DefaultLimits) {
		return 0, false
	}
	return found.Updated.Add(suspect.DefaultLimits.TTL).Sub(now), true
}

// RecordLoss records a loss that this entry saw, and reports it to the control instances.
func (c *Client) RecordLoss(loss suspect.Loss) {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.losses.Find(loss.Fingerprint)
	c.recordQuarantine(now, before, c.losses.RecordLoss(now, loss))
	c.enqueueForAll(members, func(r *pb.ReportCrashesRequest) { r.Losses = append(r.Losses, lossToWire(now, loss)) })
	c.updateKnownCount()
}

// RecordAnswer records that an endpoint has run a request and answered it. If this changes the
// findings, it is reported to the control instances.
func (c *Client) RecordAnswer(f fleet.Fingerprint) {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.losses.RecordAnswer(now, f) {
		c.enqueueForAll(members, func(r *pb.ReportCrashesRequest) { r.Answered = append(r.Answered, f[:]) })
	}
}

// Mark returns the mark up to which the findings of a member were read, to be sent with the
// next poll of it; nil if none were read.
func (c *Client) Mark(member string) *pb.CrashMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.marks[member]
}

// ApplyChanges records the findings of a member. If the member has restarted, the findings that it
// lacks are reported to it.
func (c *Client) ApplyChanges(member string, news *pb.CrashNews) {
	if news.GetMark() == nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := c.marks[member].GetEpoch() != news.Mark.Epoch
	c.marks[member] = news.Mark
	listed := map[fleet.Fingerprint]bool{}
	for _, wire := range news.Findings {
		found, ok := findingFromWire(now, wire)
		if !ok {
			continue
		}
		listed[found.Fingerprint] = true
		before := c.losses.Find(found.Fingerprint)
		if c.losses.Merge(now, found) {
			c.recordQuarantine(now, before, c.losses.Find(found.Fingerprint))
		}
	}
	if restarted {
		c.reportMissing(now, member, listed)
	}
	c.updateKnownCount()
}

// reportMissing reports to a member the findings that it doesn't list. The caller holds
// c.mu.
func (c *Client) reportMissing(now time.Time, member string, listed map[fleet.Fingerprint]bool) {
	var missing []suspect.Finding
	for _, found := range c.losses.SharedSince(0) {
		if !listed[found.Fingerprint] {
			missing = append(missing, found)
		}
	}
	if len(missing) > 0 {
		c.enqueue(member, func(r *pb.ReportCrashesRequest) { r.Known = findingsToWire(now, missing) })
	}
}

// recordQuarantine counts and logs a request that is refused here from now on. The caller holds
// c.mu.
func (c *Client) recordQuarantine(now time.Time, before, after suspect.Finding) {
	if before.Quarantined(now, suspect.DefaultLimits) || !after.Quarantined(now, suspect.DefaultLimits) {
		return
	}
	c.metrics.quarantined.Inc()
	c.options.Part.Warn("A request crashes endpoints and is refused from now on.", "fingerprint", after.Fingerprint,
		"weight", after.Weight, "last_ms", now.Sub(after.Updated).Milliseconds())
}

// Sweep removes expired findings.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses.Sweep(now)
	c.parts.sweep(now)
	c.updateKnownCount()
}

// updateKnownCount must be called, with c.mu held, after the number of findings may have
// changed.
func (c *Client) updateKnownCount() {
	c.knownCount.Store(int64(c.losses.Len()))
	c.partCount.Store(int64(c.parts.len()))
}
