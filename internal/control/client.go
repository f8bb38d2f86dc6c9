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

// Timeouts, backoffs and limits of the client.
const (
	attemptTimeout = 1500 * time.Millisecond // without a byte in one attempt at one member
	renewTimeout   = 400 * time.Millisecond  // lets a lease outlast one or two unreachable members
	commandTimeout = proposeTimeout + attemptTimeout
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	maxRedirects   = 2 // consecutive redirects without a backoff
)

// Client calls the control group from other processes. It follows the leader and
// retries a call until it is answered or the context ends; all calls are
// idempotent, by change ID, order ID, incarnation or content. It is safe for
// concurrent use.
type Client struct {
	dialer    rpc.Dialer
	addresses func() []string
	part      logging.Part

	mu            sync.Mutex
	random        *rand.Rand
	leader        string        // latest known; empty when unknown
	leaderChanged chan struct{} // closed when a leader becomes known
	addressIndex  int           // of the address last tried while no leader is known
	pullMember    string        // address of the member that answers pulls
}

// NewClient returns a client of the control instances at addresses, which is
// called again whenever the client has to choose a member.
func NewClient(dialer rpc.Dialer, addresses func() []string, part logging.Part) *Client {
	return &Client{
		dialer:        dialer,
		addresses:     addresses,
		part:          part,
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		leaderChanged: make(chan struct{}),
	}
}

// attemptFunc makes one attempt of a call and returns the address of the leader
// when the member redirects.
type attemptFunc func(ctx context.Context, c pb.DRPCControlClient) (redirect string, err error)

// callLeader retries attempt, at the leader if it is known, until the leader has
// answered.
func (c *Client) callLeader(ctx context.Context, timeout time.Duration, attempt attemptFunc) error {
	backoff := minBackoff
	redirects := 0
	for {
		address := c.targetAddress()
		redirect, err := c.attemptAt(ctx, timeout, address, attempt)
		if err == nil && redirect == "" {
			c.setLeader(address)
			return nil
		}
		c.recordFailure(address, redirect, err)
		if redirect != "" && redirects < maxRedirects {
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

// recordFailure updates the known leader after a failed attempt. It forgets the
// leader only if the attempt was made there: another call may have found the next
// leader meanwhile.
func (c *Client) recordFailure(address, redirect string, err error) {
	if redirect != "" {
		c.setLeader(redirect)
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

func (c *Client) attemptAt(ctx context.Context, timeout time.Duration, address string, attempt attemptFunc) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, transfer := rpc.WithTransfer(ctx, timeout)
	client, err := c.clientAt(ctx, address)
	if err != nil {
		return "", trace.Wrap(transfer.End(ctx, err))
	}
	go c.cancelOnNewLeader(ctx, cancel, address)
	redirect, err := attempt(ctx, client)
	return redirect, transfer.End(ctx, err)
}

// cancelOnNewLeader cancels an attempt once another member is known to lead.
//
// If the leader becomes unreachable while a change waits there for its answer,
// an operator's command would hang for the whole timeout of the attempt, long
// after the others have elected a new leader. The lease renewals of this process
// find the new leader within a second, and since all calls are idempotent the
// call can be retried there.
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

// targetAddress returns the leader's address or, when the leader is unknown, the
// next address in turn.
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

// sleep waits for a random time between half and one and a half times backoff.
// It returns false when ctx ended.
func (c *Client) sleep(ctx context.Context, backoff time.Duration) bool {
	c.mu.Lock()
	wait := backoff/2 + time.Duration(c.random.Int64N(int64(backoff)))
	c.mu.Unlock()
	return sleep.For(ctx, wait)
}
