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
)

// Limits of the calls of a Client.
const (
	// findTimeout limits one question for a stream. A control instance answers within
	// milliseconds; one that doesn't is frozen or cut off.
	findTimeout = 100 * time.Millisecond
	// contradictionWait is how long other instances may still contradict one that knows a
	// stream: those that answer at all do so within a few milliseconds.
	contradictionWait = 15 * time.Millisecond
	// soleTimeout limits one question for a service's only version, which a quorum confirms.
	soleTimeout = 200 * time.Millisecond
	// maxSoleQuestions limits the instances asked for that: others confirm with the same leader.
	maxSoleQuestions = 2
	// minBackoff and maxBackoff limit how long an instance is not asked after a failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// How a stream's software version was found, used as label values.
const (
	foundByRecord = "record"    // of a control instance
	foundHere     = "own"       // by a record of this entry alone
	foundSole     = "sole"      // the service has one version
	foundDoubtful = "doubtful"  // the endpoint may have run another version
	foundNone     = "unknown"   // there is no record, or no instance answers
	foundSeveral  = "ambiguous" // the service has or had several versions
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
}

// NewClient returns a Client without records.
func NewClient(o Options) *Client {
	return &Client{
		options: o, metrics: newClientMetrics(o.Metrics), own: newTable(), holders: map[string]*holder{},
		instances: backoff.NewCaller(backoff.CallerOptions{
			Dialer: o.Dialer, Shuffle: o.Shuffle, Timeout: findTimeout, MinPause: minBackoff, MaxPause: maxBackoff,
		}),
	}
}

// Find returns where a stream began; ok is false if that is unknown or in doubt.
func (c *Client) Find(ctx context.Context, key Key) (origin Origin, ok bool) {
	found := c.ask(ctx, key)
	if origin, ok = found.result(); ok {
		c.metrics.found.WithLabelValues(foundByRecord).Inc()
		return origin, true
	}
	if found.doubtful {
		c.metrics.found.WithLabelValues(foundDoubtful).Inc()
		return Origin{}, false
	}
	if origin, ok = c.findHere(key); ok {
		c.metrics.found.WithLabelValues(foundHere).Inc()
		return origin, true
	}
	c.metrics.found.WithLabelValues(foundNone).Inc()
	return Origin{}, false
}

// ask asks all control instances for a stream, which began at an unknown entry.
func (c *Client) ask(ctx context.Context, key Key) (found answers) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
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

// findHere returns where a stream of this entry began.
func (c *Client) findHere(key Key) (origin Origin, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, found := c.own.get(time.Now(), key)
	if !found || known.ambiguous {
		return Origin{}, false
	}
	return known.origin.Value(), true
}

// SoleSoftware returns the version that all endpoints of a service have run for some time up to
// now. ok is false if there were several, or none, or if no quorum confirms it.
func (c *Client) SoleSoftware(ctx context.Context, service string, within time.Duration) (software string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, soleTimeout)
	defer cancel()
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
		if err != nil {
			c.options.Part.Debug("A control instance doesn't tell a service's only version.", "member", member, "service", service, "err", err)
			continue
		}
		if !reply.Sole {
			c.metrics.found.WithLabelValues(foundSeveral).Inc()
			return "", false
		}
		c.metrics.found.WithLabelValues(foundSole).Inc()
		return reply.Software, true
	}
	return "", false
}

func (c *Client) askSole(ctx context.Context, member, service string, within time.Duration) (reply *pb.SoleSoftwareReply, err error) {
	err = c.instances.Call(ctx, member, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = pb.NewDRPCStreamOriginsClient(conn).SoleSoftware(ctx, &pb.SoleSoftwareRequest{Service: service, WithinMs: uint32(within.Milliseconds())})
		return err
	})
	return reply, err
}
