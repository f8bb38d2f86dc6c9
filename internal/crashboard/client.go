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

// Options tell a Client what it works with.
type Options struct {
	Dialer  Dialer
	Members func() []string // addresses of the control instances
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
}

// Client is what one entry knows. It is safe for concurrent use.
type Client struct {
	options Options
	metrics *clientMetrics
	known   atomic.Int64 // requests of which something is known

	mu     sync.Mutex // guards the fields below
	losses *suspect.Losses
	marks  map[string]*pb.CrashMark // by member
	boxes  map[string]*outbox       // by member; those with nothing to send have none
}

// NewClient makes a Client that knows of nothing.
func NewClient(options Options) *Client {
	return &Client{
		options: options, metrics: newClientMetrics(options.Metrics),
		losses: suspect.NewLosses(suspect.DefaultLimits), marks: map[string]*pb.CrashMark{}, boxes: map[string]*outbox{},
	}
}

// Watches tells whether anything is known of any request, so that it is worth to compute a
// fingerprint.
func (c *Client) Watches() bool { return c.known.Load() > 0 }

// Refused tells whether a request is refused since it crashes endpoints, and for how long.
func (c *Client) Refused(f fleet.Fingerprint) (wait time.Duration, refused bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.losses.Find(f)
	if !found.Quarantined(now, suspect.DefaultLimits) {
		return 0, false
	}
	return found.At.Add(suspect.DefaultLimits.Life).Sub(now), true
}

// Lost takes in a loss that this entry saw, and reports it.
func (c *Client) Lost(loss suspect.Loss) {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.losses.Find(loss.Fingerprint)
	c.noteQuarantine(now, before, c.losses.Lost(now, loss))
	c.report(members, func(r *pb.ReportCrashesRequest) { r.Losses = append(r.Losses, lossToWire(now, loss)) })
	c.counted()
}

// Answered takes in that an endpoint has run a request and answered it.
func (c *Client) Answered(f fleet.Fingerprint) {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.losses.Answered(now, f) {
		c.report(members, func(r *pb.ReportCrashesRequest) { r.Answered = append(r.Answered, f[:]) })
	}
}

// Mark is how far a member's findings were read, to be sent with a question to it.
func (c *Client) Mark(member string) *pb.CrashMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.marks[member]
}

// Take takes in what a member knows. One whose process has begun anew is told what it lacks.
func (c *Client) Take(member string, news *pb.CrashNews) {
	if news.GetMark() == nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.marks[member].GetEpoch() != news.Mark.Epoch
	c.marks[member] = news.Mark
	listed := map[fleet.Fingerprint]bool{}
	for _, wire := range news.Findings {
		found, ok := findingFromWire(now, wire)
		if !ok {
			continue
		}
		listed[found.Fingerprint] = true
		before := c.losses.Find(found.Fingerprint)
		if c.losses.Told(now, found) {
			c.noteQuarantine(now, before, c.losses.Find(found.Fingerprint))
		}
	}
	if begun {
		c.tellMissing(now, member, listed)
	}
	c.counted()
}

// tellMissing tells a member the findings that it doesn't list. It is called with c.mu held.
func (c *Client) tellMissing(now time.Time, member string, listed map[fleet.Fingerprint]bool) {
	var missing []suspect.Finding
	for _, found := range c.losses.Shared(0) {
		if !listed[found.Fingerprint] {
			missing = append(missing, found)
		}
	}
	if len(missing) > 0 {
		c.reportTo(member, func(r *pb.ReportCrashesRequest) { r.Known = findingsToWire(now, missing) })
	}
}

// noteQuarantine writes a line when a request begins to be refused here.
func (c *Client) noteQuarantine(now time.Time, before, after suspect.Finding) {
	if before.Quarantined(now, suspect.DefaultLimits) || !after.Quarantined(now, suspect.DefaultLimits) {
		return
	}
	c.metrics.quarantined.Inc()
	c.options.Part.Warn("A request crashes endpoints and is refused from now on.", "fingerprint", after.Fingerprint,
		"weight", after.Weight, "last_ms", now.Sub(after.At).Milliseconds())
}

// Sweep forgets what is over.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses.Sweep(now)
	c.counted()
}

// counted is called with c.mu held after the number of known requests may have changed.
func (c *Client) counted() { c.known.Store(int64(c.losses.Len())) }
