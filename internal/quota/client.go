package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// ErrNoQuotaServer means that no quota server has answered.
var ErrNoQuotaServer = errors.New("no quota server answered")

// ExhaustedError means that nothing is left of a team's quota.
type ExhaustedError struct {
	RetryAfter time.Duration // time until the quota may be available again
}

// Error implements error.
func (e *ExhaustedError) Error() string { return "the quota is spent" }

// Limits of a Client.
const (
	// serverTimeout limits one call. A quota server answers within a few milliseconds; one
	// that doesn't is frozen or unreachable, and the others have shares too.
	serverTimeout = 40 * time.Millisecond
	// minBackoff and maxBackoff limit how long a server is skipped after it failed.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxFailedServers limits the servers that may time out for one request: if this many
	// don't answer, it is this entry that has lost contact.
	maxFailedServers = 3
	// returnTimeout limits the call that returns a grant.
	returnTimeout = 400 * time.Millisecond
)

// Client takes quota from the quota servers on behalf of an entry. It is safe for concurrent
// use if shuffle is.
type Client struct {
	dialer  backoff.Dialer
	members func() []string
	servers *backoff.Caller

	mu        sync.Mutex
	exhausted map[string]map[string]time.Time // by team and server: until when nothing is left there
}

// NewClient returns a Client; members returns the addresses of the control instances. shuffle
// must use a source of random numbers that is safe for concurrent use.
func NewClient(dialer backoff.Dialer, members func() []string, shuffle func(n int, swap func(i, j int))) *Client {
	return &Client{
		dialer: dialer, members: members,
		servers:   backoff.NewCaller(backoff.CallerOptions{Dialer: dialer, Shuffle: shuffle, Timeout: serverTimeout, MinPause: minBackoff, MaxPause: maxBackoff}),
		exhausted: map[string]map[string]time.Time{},
	}
}

// Grant is a part of a quota that a request has taken.
type Grant struct {
	Team   string
	server string
	id     uint64
}

// takeOutcome is the outcome of taking quota from one server.
type takeOutcome int

const (
	outcomeGranted   takeOutcome = iota
	outcomeExhausted             // nothing is left there
	outcomeFailed                // it did not answer
	outcomeSkipped               // it was not asked, since it failed recently
)

// Take takes the cost of a request from a team's quota. The error is an *ExhaustedError or
// ErrNoQuotaServer.
func (c *Client) Take(ctx context.Context, team string, limit Limit, cost float64) (Grant, error) {
	exhausted, failed := 0, 0
	for _, server := range c.servers.Shuffled(c.members()) {
		if failed == maxFailedServers || ctx.Err() != nil {
			break
		}
		grant, result := c.takeFrom(ctx, server, team, limit, cost)
		switch result {
		case outcomeGranted:
			return grant, nil
		case outcomeExhausted:
			exhausted++
		case outcomeFailed:
			failed++
		case outcomeSkipped:
		}
	}
	if exhausted == 0 {
		return Grant{}, trace.Wrap(ErrNoQuotaServer)
	}
	return Grant{}, &ExhaustedError{RetryAfter: c.retryAfter(team, time.Now())}
}

func (c *Client) takeFrom(ctx context.Context, server, team string, limit Limit, cost float64) (Grant, takeOutcome) {
	switch {
	case !c.servers.Available(server):
		return Grant{}, outcomeSkipped
	case c.isExhausted(team, server, time.Now()):
		return Grant{}, outcomeExhausted
	}
	reply, err := c.callTake(ctx, server, team, limit, cost)
	if err != nil {
		return Grant{}, outcomeFailed
	}
	if reply.Grant == 0 {
		c.markExhausted(team, server, time.Now(), time.Duration(reply.AgainMs)*time.Millisecond)
		return Grant{}, outcomeExhausted
	}
	return Grant{Team: team, server: server, id: reply.Grant}, outcomeGranted
}

func (c *Client) callTake(ctx context.Context, server, team string, limit Limit, cost float64) (reply *pb.TakeQuotaReply, err error) {
	err = c.servers.Call(ctx, server, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = pb.NewDRPCQuotaKeeperClient(conn).TakeQuota(ctx, &pb.TakeQuotaRequest{
			Team: team, Version: limit.Version, PerSecond: limit.PerSecond, Burst: limit.Burst, Cost: cost,
			ExtraPerSecond: limit.ExtraPerSecond, Debt: limit.Debt, Reserve: limit.Reserve,
		})
		return err
	})
	return reply, err
}

// isExhausted reports whether a server is known to have nothing left. It is then not asked
// with each request until the time that it has named.
func (c *Client) isExhausted(team, server string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.exhausted[team][server])
}

func (c *Client) markExhausted(team, server string, now time.Time, retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	if c.exhausted[team] == nil {
		c.exhausted[team] = map[string]time.Time{}
	}
	c.exhausted[team][server] = now.Add(retryAfter)
}

// dropExpired drops the times that are over. The caller holds c.mu.
func (c *Client) dropExpired(now time.Time) {
	for team, servers := range c.exhausted {
		for server, until := range servers {
			if !now.Before(until) {
				delete(servers, server)
			}
		}
		if len(servers) == 0 {
			delete(c.exhausted, team)
		}
	}
}

// retryAfter returns the time until the first server may have something left.
func (c *Client) retryAfter(team string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	earliest := maxRetryAfter
	for _, until := range c.exhausted[team] {
		earliest = min(earliest, until.Sub(now))
	}
	return max(0, earliest)
}

// Return returns the grant of a request that did not run.
func (c *Client) Return(ctx context.Context, g Grant) error {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, g.server)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = pb.NewDRPCQuotaKeeperClient(conn).ReturnQuota(ctx, &pb.ReturnQuotaRequest{Team: g.Team, Grant: g.id})
	return trace.Wrap(err)
}
