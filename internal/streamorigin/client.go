package streamorigin

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// Limits of the calls of a Client.
const (
	// askTimeout limits one question. A control instance answers within milliseconds, and a
	// quorum confirms within some more; one that doesn't is frozen or cut off.
	askTimeout = 150 * time.Millisecond
	// contradictionWait is how long other instances may still contradict one that knows a
	// stream: those that answer at all do so within a few milliseconds.
	contradictionWait = 15 * time.Millisecond
	// maxQuorumWait limits the wait for a quorum: an election takes about a second, and callers
	// leave if nothing comes for two. quorumPollInterval is the pause between two questions.
	maxQuorumWait      = time.Second
	quorumPollInterval = 50 * time.Millisecond
	// maxSoleQuestions limits the instances asked for that: others confirm with the same leader.
	maxSoleQuestions = 2
	// minBackoff and maxBackoff limit how long an instance is not asked after a failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// How a stream's software version was found, used as label values.
const (
	foundByRecord  = "record"    // of a control instance
	foundSole      = "sole"      // the service has one version
	foundDoubtful  = "doubtful"  // the endpoint may have run another version
	foundUncertain = "uncertain" // instances that know the stream have no contact with a leader
	foundNone      = "unknown"   // there is no record, or no instance answers
	foundSeveral   = "ambiguous" // the service has or had several versions
	foundNoQuorum  = "no-quorum" // nobody can tell which versions the service has
)

// Options configure a Client.
type Options struct {
	Entry   string // ID of this incarnation of the entry
	Dialer  backoff.Dialer
	Members func() []string // returns the addresses of the control instances
	Shuffle func(n int, swap func(i, j int))
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
}

// Client records and finds streams for one entry. It is safe for concurrent use.
type Client struct {
	options   Options
	metrics   *clientMetrics
	instances *backoff.Caller

	mu      sync.Mutex // guards the fields below
	own     *table     // streams that this entry has recorded
	holders map[string]*holder
	// noQuorumSince is since when no quorum could be asked for a service's only version; zero if
	// the latest question was answered.
	noQuorumSince time.Time
}

// NewClient returns a Client without records.
func NewClient(o Options) *Client {
	return &Client{
		options: o, metrics: newClientMetrics(o.Metrics), own: newTable(), holders: map[string]*holder{},
		instances: backoff.NewCaller(backoff.CallerOptions{
			Dialer: o.Dialer, Shuffle: o.Shuffle, Timeout: askTimeout, MinPause: minBackoff, MaxPause: maxBackoff,
		}),
	}
}

// Find returns where a stream began; ok is false if that is unknown or in doubt. It waits for a
// moment where control instances know the stream and can't be certain yet.
func (c *Client) Find(ctx context.Context, key Key) (origin Origin, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, c.quorumWait(time.Now()))
	defer cancel()
	found := c.ask(ctx, key)
	for found.mayBecomeCertain() && sleep.For(ctx, quorumPollInterval) {
		found = c.ask(ctx, key)
	}
	origin, ok = found.result()
	c.metrics.found.WithLabelValues(howFound(found)).Inc()
	return origin, ok
}

func howFound(a answers) string {
	switch {
	case a.doubtful:
		return foundDoubtful
	case a.mayBecomeCertain():
		return foundUncertain
	case a.certain:
		return foundByRecord
	}
	return foundNone
}

// ask asks all control instances for a stream, which began at an unknown entry.
func (c *Client) ask(ctx context.Context, key Key) (found answers) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := c.options.Members()
	replies := make(chan *pb.FindStreamReply, len(members))
	for _, member := range members {
		go func() { replies <- c.askOne(ctx, member, key) }()
	}
	var enough <-chan time.Time
	for range members {
		select {
		case reply := <-replies:
			if found.add(reply) && enough == nil {
				enough = time.After(contradictionWait)
			}
		case <-enough:
			return found
		}
	}
	return found
}

// askOne returns the answer of one instance, nil if there is none.
func (c *Client) askOne(ctx context.Context, member string, key Key) *pb.FindStreamReply {
	var reply *pb.FindStreamReply
	err := c.instances.Call(ctx, member, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = pb.NewDRPCStreamOriginsClient(conn).FindStream(ctx, &pb.FindStreamRequest{Key: key[:]})
		return err
	})
	if err != nil {
		c.options.Part.Debug("A control instance doesn't tell where a stream began.", "member", member, "err", err)
		return nil
	}
	return reply
}

// SoleSoftware returns the version that all endpoints of a service have run for some time up to
// now. ok is false if there were several, or none, or if no quorum confirms it.
//
// Load pattern: all processes are killed, and all callers return at once, before the control
// instances have a leader. Their streams go on if they wait for it; refused, most of them would
// be lost. While there has been no quorum for longer, nobody waits.
func (c *Client) SoleSoftware(ctx context.Context, service string, within time.Duration) (software string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, c.quorumWait(time.Now()))
	defer cancel()
	for {
		reply := c.askForSole(ctx, service, within)
		c.recordQuorum(reply != nil)
		switch {
		case reply.GetSole():
			c.metrics.found.WithLabelValues(foundSole).Inc()
			return reply.Software, true
		case reply != nil:
			c.metrics.found.WithLabelValues(foundSeveral).Inc()
			return "", false
		case !sleep.For(ctx, quorumPollInterval):
			c.metrics.found.WithLabelValues(foundNoQuorum).Inc()
			return "", false
		}
	}
}

// quorumWait returns how long to wait for a quorum.
func (c *Client) quorumWait(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noQuorumSince.IsZero() || now.Sub(c.noQuorumSince) < maxQuorumWait {
		return maxQuorumWait
	}
	return askTimeout
}

// recordQuorum records whether a quorum could be asked.
func (c *Client) recordQuorum(reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case reached:
		c.noQuorumSince = time.Time{}
	case c.noQuorumSince.IsZero():
		c.noQuorumSince = time.Now()
	}
}

// askForSole asks instances until one answers, nil if none does.
func (c *Client) askForSole(ctx context.Context, service string, within time.Duration) *pb.SoleSoftwareReply {
	asked := 0
	for _, member := range c.instances.Shuffled(c.options.Members()) {
		if asked == maxSoleQuestions || ctx.Err() != nil {
			break
		}
		if !c.instances.Available(member) {
			continue
		}
		asked++
		reply, err := c.askSole(ctx, member, service, within)
		if err == nil {
			return reply
		}
		c.options.Part.Debug("A control instance doesn't tell a service's only version.", "member", member, "service", service, "err", err)
	}
	return nil
}

func (c *Client) askSole(ctx context.Context, member, service string, within time.Duration) (reply *pb.SoleSoftwareReply, err error) {
	err = c.instances.Call(ctx, member, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = pb.NewDRPCStreamOriginsClient(conn).SoleSoftware(ctx, &pb.SoleSoftwareRequest{Service: service, WithinMs: uint32(within.Milliseconds())})
		return err
	})
	return reply, err
}
