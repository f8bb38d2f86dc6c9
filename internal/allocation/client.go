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

// ErrNoHome means that no home of the service could be reached.
var ErrNoHome = errors.New("no home of the service answers")

// The bounds of a Client.
const (
	// homeTimeout is the timeout of a request to a home, beyond the requested wait. A
	// home answers within a few milliseconds; one that doesn't is frozen or cut off.
	homeTimeout = 80 * time.Millisecond
	// minBackoff and maxBackoff bound how long a home is skipped after a failure.
	minBackoff = 2 * time.Second
	maxBackoff = 16 * time.Second
	// reportTimeout is the timeout of a release or of a report about prefill.
	reportTimeout = 400 * time.Millisecond
)

// Dialer connects to control instances.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Client requests reservations from the homes of services for one entry. It is safe for
// concurrent use.
type Client struct {
	entry       string // ID of this incarnation of the entry
	dialer      Dialer
	members     func() []string
	homeBackoff *backoff.Peers
}

// NewClient returns a Client for an entry. members returns the addresses of the control
// instances.
func NewClient(entry string, dialer Dialer, members func() []string) *Client {
	return &Client{entry: entry, dialer: dialer, members: members, homeBackoff: backoff.New(minBackoff, maxBackoff)}
}

// Reservation is a reservation, with what is needed to release it.
type Reservation struct {
	Placement
	FreeCapacity FreeCapacity // free memory if there is no reservation
	Home         string
	Service      string
	Exchange     string
}

// Allot requests a reservation from the service's home, which holds the request for up to
// wait if there is no capacity. The result has no Endpoint if there was none in that time.
// The error wraps ErrNoHome.
func (c *Client) Allot(ctx context.Context, service string, request ReservationRequest, wait time.Duration) (Reservation, error) {
	home := c.home(service, time.Now())
	if home == "" {
		return Reservation{}, ErrNoHome
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+homeTimeout)
	defer cancel()
	reply, err := c.call(callCtx, home, c.wireRequest(service, request, wait))
	if err != nil {
		if ctx.Err() == nil {
			c.homeBackoff.RecordFailure(home, time.Now())
		}
		return Reservation{}, trace.Wrap(ErrNoHome, "%s: %v", home, err)
	}
	c.homeBackoff.RecordSuccess(home)
	placement := Placement{Endpoint: reply.Endpoint, PrefillEndpoint: reply.Reader, PrefillBacklog: time.Duration(reply.BacklogMs) * time.Millisecond}
	free := FreeCapacity{Candidates: int(reply.Among), MaxFreeTokens: int(reply.MostFree)}
	return Reservation{Placement: placement, FreeCapacity: free, Home: home, Service: service, Exchange: request.Exchange}, nil
}

func (c *Client) wireRequest(service string, request ReservationRequest, wait time.Duration) *pb.AllotRequest {
	return &pb.AllotRequest{
		Exchange: request.Exchange, Entry: c.entry, Service: service, Model: request.Model, Zone: request.Zone,
		Prompt: uint32(request.PromptTokens), Output: uint32(request.OutputTokens), Capacity: uint32(request.CapacityTokens),
		LengthMs: wireMillis(request.AnswerDuration), ReadingMs: wireMillis(request.PrefillDuration), LongestBacklogMs: wireMillis(request.MaxBacklog),
		ReadsOwn: request.AllowLocalPrefill, Excluded: request.Excluded, Software: request.Software, WaitMs: wireMillis(wait),
		Resumes: request.Resumes, Fingerprint: request.Stream, PatienceMs: wireMillis(request.Patience),
	}
}

func (c *Client) call(ctx context.Context, home string, r *pb.AllotRequest) (*pb.AllotReply, error) {
	conn, err := c.dialer.Conn(ctx, home)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCAllotterClient(conn).Allot(ctx, r)
}

// home returns the home of a service, by rendezvous hashing: entries that know the same
// control instances agree on it. Control instances that failed lately are left out.
func (c *Client) home(service string, now time.Time) string {
	best, bestWeight := "", uint64(0)
	for _, m := range c.members() {
		weight := xxhash.Sum64String(service + "\x00" + m)
		if c.homeBackoff.Available(m, now) && (best == "" || weight > bestWeight) {
			best, bestWeight = m, weight
		}
	}
	return best
}

// Settle releases a reservation and reports how its use ended.
func (c *Client) Settle(ctx context.Context, r Reservation, o Outcome) error {
	return c.callHome(ctx, r.Home, func(ctx context.Context, home pb.DRPCAllotterClient) error {
		_, err := home.Settle(ctx, &pb.SettleRequest{
			Exchange: r.Exchange, Service: r.Service, Endpoint: r.Endpoint, Outcome: wireOutcome(o), Entry: c.entry,
		})
		return err
	})
}

// Read reports that the prefill endpoint of a reservation failed or was late. prefillTime
// is the expected duration of the prefill without its wait.
func (c *Client) Read(ctx context.Context, r Reservation, o Outcome, prefillTime, took time.Duration) error {
	return c.callHome(ctx, r.Home, func(ctx context.Context, home pb.DRPCAllotterClient) error {
		_, err := home.Read(ctx, &pb.ReadRequest{
			Service: r.Service, Reader: r.PrefillEndpoint, Outcome: wireOutcome(o), Entry: c.entry,
			PromisedMs: wireMillis(r.PrefillBacklog + prefillTime), TookMs: wireMillis(took),
		})
		return err
	})
}

func (c *Client) callHome(ctx context.Context, home string, call func(context.Context, pb.DRPCAllotterClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, home)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(call(ctx, pb.NewDRPCAllotterClient(conn)))
}

func wireMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func wireOutcome(o Outcome) pb.AllotOutcome {
	switch o {
	case OutcomeFull:
		return pb.AllotOutcome_ALLOT_OUTCOME_FULL
	case OutcomeUnreachable:
		return pb.AllotOutcome_ALLOT_OUTCOME_GONE
	}
	return pb.AllotOutcome_ALLOT_OUTCOME_UNSPECIFIED
}
