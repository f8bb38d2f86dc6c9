package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// ErrNoKeeper: no keeper of quotas could be asked.
var ErrNoKeeper = errors.New("no keeper of quotas answers")

// SpentError: nothing is left of a team's quota.
type SpentError struct {
	Again time.Duration // when there may be some again
}

// Error implements error.
func (e *SpentError) Error() string { return "the quota is spent" }

// The bounds of a Client.
const (
	// keeperTimeout bounds one question. A keeper answers within a few milliseconds;
	// one that does not is frozen or cut off, and another one has a share too.
	keeperTimeout = 40 * time.Millisecond
	// firstLeft and longestLeft bound how long a keeper that failed is passed over.
	firstLeft   = 250 * time.Millisecond
	longestLeft = 4 * time.Second
	// mostFailed bounds the keepers that one question waits for in vain: where this
	// many are silent it is this entry that is cut off.
	mostFailed = 3
	// returnTimeout bounds the word that a request did not run.
	returnTimeout = 400 * time.Millisecond
)

// Dialer connects to control instances.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Client asks keepers for an entry.
type Client struct {
	dialer  Dialer
	members func() []string
	shuffle func(n int, swap func(i, j int))
	failed  *backoff.Peers

	mu    sync.Mutex
	spent map[string]map[string]time.Time // by team and keeper: until when nothing is left there
}

// NewClient makes a Client that knows the control instances by members. shuffle is
// that of a source of random numbers that is safe for concurrent use.
func NewClient(dialer Dialer, members func() []string, shuffle func(n int, swap func(i, j int))) *Client {
	return &Client{
		dialer: dialer, members: members, shuffle: shuffle, failed: backoff.New(firstLeft, longestLeft),
		spent: map[string]map[string]time.Time{},
	}
}

// Grant is a part of a quota that a request took.
type Grant struct {
	Team   string
	keeper string
	id     uint64
}

// answer is what came of asking one keeper.
type answer int

const (
	answerGranted answer = iota
	answerSpent          // nothing is left there
	answerFailed         // it did not answer
	answerNone           // it was not asked, since it failed a moment ago
)

// Take takes a request's cost from a team's quota. The error is a *SpentError or
// ErrNoKeeper.
func (c *Client) Take(ctx context.Context, team string, limit Limit, cost float64) (Grant, error) {
	spent, failed := 0, 0
	for _, keeper := range c.shuffled() {
		if failed == mostFailed || ctx.Err() != nil {
			break
		}
		grant, result := c.takeFrom(ctx, keeper, team, limit, cost)
		switch result {
		case answerGranted:
			return grant, nil
		case answerSpent:
			spent++
		case answerFailed:
			failed++
		case answerNone:
		}
	}
	if spent == 0 {
		return Grant{}, trace.Wrap(ErrNoKeeper)
	}
	return Grant{}, &SpentError{Again: c.again(team, time.Now())}
}

func (c *Client) takeFrom(ctx context.Context, keeper, team string, limit Limit, cost float64) (Grant, answer) {
	now := time.Now()
	switch {
	case !c.failed.Open(keeper, now):
		return Grant{}, answerNone
	case c.isSpent(team, keeper, now):
		return Grant{}, answerSpent
	}
	reply, err := c.ask(ctx, keeper, team, limit, cost)
	if err != nil {
		if ctx.Err() == nil {
			c.failed.Failed(keeper, time.Now())
		}
		return Grant{}, answerFailed
	}
	c.failed.Answered(keeper)
	if reply.Grant == 0 {
		c.noteSpent(team, keeper, time.Now(), time.Duration(reply.AgainMs)*time.Millisecond)
		return Grant{}, answerSpent
	}
	return Grant{Team: team, keeper: keeper, id: reply.Grant}, answerGranted
}

// shuffled gives the keepers in any order, so that entries use all shares alike.
func (c *Client) shuffled() []string {
	keepers := slices.Clone(c.members())
	c.shuffle(len(keepers), func(i, j int) { keepers[i], keepers[j] = keepers[j], keepers[i] })
	return keepers
}

func (c *Client) ask(ctx context.Context, keeper, team string, limit Limit, cost float64) (*pb.TakeQuotaReply, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, keeper)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCQuotaKeeperClient(conn).TakeQuota(ctx, &pb.TakeQuotaRequest{
		Team: team, Version: limit.Version, PerSecond: limit.PerSecond, Burst: limit.Burst, Cost: cost,
		ExtraPerSecond: limit.ExtraPerSecond, Debt: limit.Debt, Reserve: limit.Reserve,
	})
}

// isSpent tells whether a keeper is known to have nothing left. One that says so once
// isn't asked again with each request that comes meanwhile.
func (c *Client) isSpent(team, keeper string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.spent[team][keeper])
}

func (c *Client) noteSpent(team, keeper string, now time.Time, again time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOver(now)
	if c.spent[team] == nil {
		c.spent[team] = map[string]time.Time{}
	}
	c.spent[team][keeper] = now.Add(again)
}

// forgetOver is called with c.mu held.
func (c *Client) forgetOver(now time.Time) {
	for team, keepers := range c.spent {
		for keeper, until := range keepers {
			if !now.Before(until) {
				delete(keepers, keeper)
			}
		}
		if len(keepers) == 0 {
			delete(c.spent, team)
		}
	}
}

// again is the time until the first keeper may have something left.
func (c *Client) again(team string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := longestAgain
	for _, until := range c.spent[team] {
		least = min(least, until.Sub(now))
	}
	return max(0, least)
}

// Return gives back what a request took that did not run.
func (c *Client) Return(ctx context.Context, g Grant) error {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, g.keeper)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = pb.NewDRPCQuotaKeeperClient(conn).ReturnQuota(ctx, &pb.ReturnQuotaRequest{Team: g.Team, Grant: g.id})
	return trace.Wrap(err)
}
