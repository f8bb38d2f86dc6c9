package crashboard

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// Limits of the polls of control instances for findings on parts of prompts.
const (
	// partPollers is the number of control instances that an entry polls at a time: one of them
	// may have restarted or be cut off.
	partPollers = 2
	// partPollWait is the longest time that a poll waits for findings; partPollTimeout limits the
	// whole call, so that a frozen instance is left soon.
	partPollWait    = 5 * time.Second
	partPollTimeout = partPollWait + time.Second
	// partPollPause is the pause after a failure, and between looks for an instance to poll.
	partPollPause = 100 * time.Millisecond
	// minPartPollBackoff and maxPartPollBackoff limit how long an instance is not polled after a
	// failure.
	minPartPollBackoff = 250 * time.Millisecond
	maxPartPollBackoff = 4 * time.Second
	// sweepInterval is the pause between two removals of expired findings.
	sweepInterval = time.Minute
)

// PartPoller keeps the findings of a Client on parts of prompts up to date where nothing else that the
// entry polls brings them.
type PartPoller struct {
	client *Client
	start  int // index of the first member that is polled
	failed *backoff.Peers
}

// NewPartPoller returns a PartPoller. Entries with different starts poll different control instances.
func NewPartPoller(client *Client, start uint64) *PartPoller {
	return &PartPoller{client: client, start: int(start % (1 << 16)), failed: backoff.New(minPartPollBackoff, maxPartPollBackoff)}
}

// Run polls, and removes expired findings, until ctx ends.
func (p *PartPoller) Run(ctx context.Context) error {
	pollers, ctx := errgroup.WithContext(ctx)
	for n := range partPollers {
		pollers.Go(func() error {
			p.pollUntil(ctx, n)
			return nil
		})
	}
	pollers.Go(func() error {
		for sleep.For(ctx, sweepInterval) {
			p.client.Sweep(time.Now())
		}
		return nil
	})
	return pollers.Wait()
}

func (p *PartPoller) pollUntil(ctx context.Context, poller int) {
	for ctx.Err() == nil {
		member, ok := p.member(poller)
		if !ok || !p.poll(ctx, member) {
			sleep.For(ctx, partPollPause)
		}
	}
}

// member returns the control instance that a poller asks next: one after the other has its turn
// where those before have failed.
func (p *PartPoller) member(poller int) (member string, ok bool) {
	members := p.client.options.Members()
	now := time.Now()
	for n := poller; n < len(members); n += partPollers {
		candidate := members[(p.start+n)%len(members)]
		if p.failed.Available(candidate, now) {
			return candidate, true
		}
	}
	return "", false
}

// poll asks a member for findings and reports whether it answered.
func (p *PartPoller) poll(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, partPollTimeout)
	defer cancel()
	news, err := p.ask(ctx, member)
	if err != nil {
		p.failed.RecordFailure(member, time.Now())
		p.client.options.Part.Debug("A control instance did not tell its findings on parts of prompts.", "member", member, "err", err)
		return false
	}
	p.failed.RecordSuccess(member)
	p.client.ApplyPartChanges(member, news)
	return true
}

func (p *PartPoller) ask(ctx context.Context, member string) (*pb.PartNews, error) {
	conn, err := p.client.options.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, err
	}
	return pb.NewDRPCCrashBoardClient(conn).FollowParts(ctx, &pb.FollowPartsRequest{
		Mark:   p.client.PartMark(member),
		WaitMs: uint64(partPollWait.Milliseconds()),
	})
}
