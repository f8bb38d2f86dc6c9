package endpointlimit

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// DeniedError: nothing may be sent to an endpoint now.
type DeniedError struct {
	Again time.Duration // when there may be leave again
	// NoKeeper tells that no keeper answered, so that it isn't known what others send.
	NoKeeper bool
}

// Error implements error.
func (e *DeniedError) Error() string {
	if e.NoKeeper {
		return "no keeper of the endpoint's limit answers"
	}
	return "the endpoint's limit is used up"
}

// The bounds of a Client.
const (
	// keeperTimeout bounds one question. A keeper answers within a few milliseconds; one
	// that does not is frozen or cut off.
	keeperTimeout = 40 * time.Millisecond
	// firstLeft and longestLeft bound how long a keeper that failed is passed over.
	firstLeft   = 250 * time.Millisecond
	longestLeft = 4 * time.Second
	// leastAgain is the least pause before an endpoint is asked for again.
	leastAgain = 20 * time.Millisecond
	// tellTimeout bounds the word to one keeper that a limit has ended.
	tellTimeout = 400 * time.Millisecond
)

// Dialer connects to control instances.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Client asks keepers for an entry. What the entry has heard is in its Known.
type Client struct {
	*Known
	dialer  Dialer
	members func() []string
	shuffle func(n int, swap func(i, j int))
	failed  *backoff.Peers
}

// NewClient makes a Client that knows the control instances by members. shuffle is that of
// a source of random numbers that is safe for concurrent use.
func NewClient(dialer Dialer, members func() []string, shuffle func(n int, swap func(i, j int))) *Client {
	return &Client{
		Known: NewKnown(), dialer: dialer, members: members, shuffle: shuffle,
		failed: backoff.New(firstLeft, longestLeft),
	}
}

// Unkept makes a Client that reaches no keeper: endpoints that name a limit get nothing.
func Unkept() *Client {
	return NewClient(nil, func() []string { return nil }, func(int, func(i, j int)) {})
}

// Take asks for leave to send one request to an endpoint, soon. It gives nil as well where
// a keeper knows that the limit has ended.
func (c *Client) Take(ctx context.Context, e Endpoint) *DeniedError {
	denied := &DeniedError{Again: firstLeft, NoKeeper: true}
	for _, keeper := range c.keepers(e) {
		reply, ok := c.ask(ctx, keeper, e)
		switch {
		case !ok:
			continue
		case reply.Granted || !c.Limit(e).Limited:
			return nil
		case denied.NoKeeper:
			denied.NoKeeper, denied.Again = false, longestAgain
		}
		denied.Again = max(leastAgain, min(denied.Again, time.Duration(reply.AgainMs)*time.Millisecond))
	}
	return denied
}

// keepers gives those of an endpoint in any order, so that their parts are used alike.
func (c *Client) keepers(e Endpoint) []string {
	keepers := Keepers(c.members(), e)
	c.shuffle(len(keepers), func(i, j int) { keepers[i], keepers[j] = keepers[j], keepers[i] })
	return keepers
}

// ask asks one keeper, and takes in what it knows. ok is false when it gave no answer.
func (c *Client) ask(ctx context.Context, keeper string, e Endpoint) (reply *pb.TakePermitReply, ok bool) {
	asked := time.Now()
	if ctx.Err() != nil || !c.failed.Open(keeper, asked) {
		return nil, false
	}
	asking, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	reply, err := c.call(asking, keeper, &pb.TakePermitRequest{Endpoint: e.ID, Born: e.Born, Heard: toWire(asked, c.Limit(e))})
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Failed(keeper, time.Now())
		}
		return nil, false
	}
	c.failed.Answered(keeper)
	c.merge(e, fromWire(asked, reply.Heard))
	return reply, true
}

func (c *Client) call(ctx context.Context, keeper string, r *pb.TakePermitRequest) (*pb.TakePermitReply, error) {
	conn, err := c.dialer.Conn(ctx, keeper)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCLimitKeeperClient(conn).TakePermit(ctx, r)
}

// Tell tells an endpoint's keepers what is known here of its limit.
func (c *Client) Tell(ctx context.Context, e Endpoint) error {
	var failed []error
	for _, keeper := range c.keepers(e) {
		failed = append(failed, c.tell(ctx, keeper, e))
	}
	return trace.NewAggregate(failed...)
}

func (c *Client) tell(ctx context.Context, keeper string, e Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, keeper)
	if err != nil {
		return trace.Wrap(err)
	}
	heard := toWire(time.Now(), c.Limit(e))
	_, err = pb.NewDRPCLimitKeeperClient(conn).TellLimit(ctx, &pb.TellLimitRequest{Endpoint: e.ID, Born: e.Born, Heard: heard})
	return trace.Wrap(err)
}
