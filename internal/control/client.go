package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// The client's time bounds.
const (
	attemptTimeout = 1500 * time.Millisecond // without a byte in one try at one member
	renewTimeout   = 400 * time.Millisecond  // so that a lease outlives a silent member or two
	commandTimeout = proposeTimeout + attemptTimeout
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	maxRedirects   = 2 // redirects in a row without a wait
)

// Client calls the control group from other processes. It follows the leader
// and repeats calls until one is answered or the context ends; all calls are
// idempotent, by change ID, order ID, incarnation or content. Safe for use by
// many goroutines.
type Client struct {
	dialer    rpc.Dialer
	addresses func() []string
	part      logging.Part

	mu            sync.Mutex
	random        *rand.Rand
	leader        string        // last known; empty when not
	leaderChanged chan struct{} // closed when a leader becomes known
	addressIndex  int           // of addresses, when there is no leader known
	pullMember    string        // where pulls go
}

// NewClient makes a client of the control instances at addresses, which is
// asked anew whenever the client has to look for another one.
func NewClient(dialer rpc.Dialer, addresses func() []string, part logging.Part) *Client {
	return &Client{
		dialer:        dialer,
		addresses:     addresses,
		part:          part,
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		leaderChanged: make(chan struct{}),
	}
}

// attemptFunc makes one call and gives the address to ask instead, if any.
type attemptFunc func(ctx context.Context, c pb.DRPCControlClient) (elsewhere string, err error)

// callLeader repeats try at the leader, as far as it is known, until it is
// answered there.
func (c *Client) callLeader(ctx context.Context, timeout time.Duration, try attemptFunc) error {
	backoff := minBackoff
	redirects := 0
	for {
		address := c.targetAddress()
		elsewhere, err := c.attemptAt(ctx, timeout, address, try)
		if err == nil && elsewhere == "" {
			c.setLeader(address)
			return nil
		}
		c.recordFailure(address, elsewhere, err)
		if elsewhere != "" && redirects < maxRedirects {
			redirects++
			continue
		}
		redirects = 0
		if !c.sleep(ctx, backoff) {
			return noAnswerError(ctx, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordFailure takes a try's failure. It forgets the leader only when that is who
// failed: another call may have found the next one meanwhile.
func (c *Client) recordFailure(address, elsewhere string, err error) {
	if elsewhere != "" {
		c.setLeader(elsewhere)
		return
	}
	c.part.Debug("Call failed.", "address", address, "err", err)
	c.forgetLeader(address)
}

func noAnswerError(ctx context.Context, last error) error {
	if last == nil {
		last = ctx.Err()
	}
	return trace.ConnectionProblem(last, "no answer from the control group")
}

func (c *Client) attemptAt(ctx context.Context, timeout time.Duration, address string, try attemptFunc) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, transfer := rpc.WithTransfer(ctx, timeout)
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return "", trace.Wrap(transfer.End(ctx, err))
	}
	go c.cancelOnNewLeader(ctx, cancel, address)
	elsewhere, err := try(ctx, client)
	return elsewhere, transfer.End(ctx, err)
}

// cancelOnNewLeader ends a try once another member is known to lead.
//
// Failure: the leader is cut off silently while a change waits there for its
// answer. It shows as an operator's command that hangs for the whole time of a
// try, long after the others have a new leader. The lease renewals of this
// process find the new leader within a second, and since all calls are
// idempotent the try may be given up and made there.
func (c *Client) cancelOnNewLeader(ctx context.Context, cancel context.CancelFunc, address string) {
	for {
		leader, moved := c.knownLeader()
		if leader != "" && leader != address {
			cancel()
			return
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) knownLeader() (leader string, moved <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.leaderChanged
}

func (c *Client) clientAt(ctx context.Context, address string) (pb.DRPCControlClient, error) {
	if address == "" {
		return nil, trace.BadParameter("no address of a control instance is known")
	}
	conn, err := c.dialer.Conn(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCControlClient(conn), nil
}

// targetAddress gives the leader, or the next address in turn.
func (c *Client) targetAddress() string {
	addresses := c.addresses()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	if len(addresses) == 0 {
		return ""
	}
	if c.addressIndex == 0 {
		c.addressIndex = 1 + c.random.IntN(len(addresses))
	}
	c.addressIndex++
	return addresses[c.addressIndex%len(addresses)]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && address != c.leader {
		close(c.leaderChanged)
		c.leaderChanged = make(chan struct{})
	}
	c.leader = address
}

// forgetLeader forgets the leader if it is the one at address.
func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// sleep waits for a random part of about backoff; false when ctx ended.
func (c *Client) sleep(ctx context.Context, backoff time.Duration) bool {
	c.mu.Lock()
	wait := backoff/2 + time.Duration(c.random.Int64N(int64(backoff)))
	c.mu.Unlock()
	return sleep.For(ctx, wait)
}
