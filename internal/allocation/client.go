package allocation

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// ErrNoHome: no home could be asked.
var ErrNoHome = errors.New("no home of the service answers")

// The bounds of a Client.
const (
	// homeTimeout bounds an answer beyond the wait that was asked for. A home
	// answers within a few milliseconds; one that does not is frozen or cut off.
	homeTimeout = 80 * time.Millisecond
	// firstLeft and longestLeft bound how long a home that failed is passed over.
	firstLeft   = 2 * time.Second
	longestLeft = 16 * time.Second
	// settleTimeout bounds the word that a place is free.
	settleTimeout = 400 * time.Millisecond
)

// Dialer connects to control instances.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Client asks the homes of services for an entry.
type Client struct {
	entry   string // ID of this incarnation
	dialer  Dialer
	members func() []string
	failed  *backoff.Peers
}

// NewClient makes a Client that knows the control instances by members.
func NewClient(entry string, dialer Dialer, members func() []string) *Client {
	return &Client{entry: entry, dialer: dialer, members: members, failed: backoff.New(firstLeft, longestLeft)}
}

// Place is a grant, and where it is given back.
type Place struct {
	Grant
	Room     Room // where there was none
	Home     string
	Service  string
	Exchange string
}

// Allot asks the service's home for a place, and waits for one to come free. The
// error is ErrNoHome; no error and no endpoint: there was none in that time.
func (c *Client) Allot(ctx context.Context, service string, ask Ask, wait time.Duration) (Place, error) {
	home := c.home(service, time.Now())
	if home == "" {
		return Place{}, ErrNoHome
	}
	asking, cancel := context.WithTimeout(ctx, wait+homeTimeout)
	defer cancel()
	reply, err := c.call(asking, home, c.request(service, ask, wait))
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Failed(home, time.Now())
		}
		return Place{}, trace.Wrap(ErrNoHome, "%s: %v", home, err)
	}
	c.failed.Answered(home)
	grant := Grant{Endpoint: reply.Endpoint, Reader: reply.Reader, Backlog: time.Duration(reply.BacklogMs) * time.Millisecond}
	room := Room{Among: int(reply.Among), MostFree: int(reply.MostFree)}
	return Place{Grant: grant, Room: room, Home: home, Service: service, Exchange: ask.Exchange}, nil
}

func (c *Client) request(service string, ask Ask, wait time.Duration) *pb.AllotRequest {
	return &pb.AllotRequest{
		Exchange: ask.Exchange, Entry: c.entry, Service: service, Model: ask.Model, Zone: ask.Zone,
		Prompt: uint32(ask.Prompt), Output: uint32(ask.Output), Capacity: uint32(ask.Capacity),
		LengthMs: wireMillis(ask.Length), ReadingMs: wireMillis(ask.Reading), LongestBacklogMs: wireMillis(ask.LongestBacklog),
		ReadsOwn: ask.ReadsOwn, Excluded: ask.Excluded, WaitMs: wireMillis(wait),
	}
}

func (c *Client) call(ctx context.Context, home string, r *pb.AllotRequest) (*pb.AllotReply, error) {
	conn, err := c.dialer.Conn(ctx, home)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCAllotterClient(conn).Allot(ctx, r)
}

// home is the control instance that all entries agree on for a service as long
// as they know the same ones: the one of the highest hash with it.
func (c *Client) home(service string, now time.Time) string {
	best, most := "", uint64(0)
	for _, m := range c.members() {
		weight := xxhash.Sum64String(service + "\x00" + m)
		if c.failed.Open(m, now) && (best == "" || weight > most) {
			best, most = m, weight
		}
	}
	return best
}

// Settle gives a place back, and tells how its use ended.
func (c *Client) Settle(ctx context.Context, p Place, o Outcome) error {
	return c.tell(ctx, p.Home, func(ctx context.Context, home pb.DRPCAllotterClient) error {
		_, err := home.Settle(ctx, &pb.SettleRequest{
			Exchange: p.Exchange, Service: p.Service, Endpoint: p.Endpoint, Outcome: wireOutcome(o), Entry: c.entry,
		})
		return err
	})
}

// Read tells that the reader of a place took other than was promised, reading
// being what it takes for the prompt alone.
func (c *Client) Read(ctx context.Context, p Place, o Outcome, reading, took time.Duration) error {
	return c.tell(ctx, p.Home, func(ctx context.Context, home pb.DRPCAllotterClient) error {
		_, err := home.Read(ctx, &pb.ReadRequest{
			Service: p.Service, Reader: p.Reader, Outcome: wireOutcome(o), Entry: c.entry,
			PromisedMs: wireMillis(p.Backlog + reading), TookMs: wireMillis(took),
		})
		return err
	})
}

func (c *Client) tell(ctx context.Context, home string, what func(context.Context, pb.DRPCAllotterClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, home)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(what(ctx, pb.NewDRPCAllotterClient(conn)))
}

func wireMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func wireOutcome(o Outcome) pb.AllotOutcome {
	switch o {
	case OutcomeFull:
		return pb.AllotOutcome_ALLOT_OUTCOME_FULL
	case OutcomeGone:
		return pb.AllotOutcome_ALLOT_OUTCOME_GONE
	}
	return pb.AllotOutcome_ALLOT_OUTCOME_UNSPECIFIED
}
