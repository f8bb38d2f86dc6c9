package outcome

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// driver runs one proposer: it sends its requests and passes it replies and timeouts.
type driver struct {
	service             *Service
	proposer            *Proposer
	claim               Claim
	requireCurrentZones bool // fail when the settings no longer permit exactly the claim's zones
	shard               fleet.LedgerShard
	random              *rand.Rand
	replies             chan replicaReply
	group               fleet.LedgerGroup
	retries             int
}

// replicaReply is a reply for the proposer.
type replicaReply struct {
	from    int // index in group.Replicas
	request *Request
	reply   Reply
}

// Delays between rounds are random below a bound that doubles with each retry, so
// that two proposers of one key don't overtake each other forever.
const (
	initialMaxRetryDelay = time.Millisecond
	maxRetryDoublings    = 7
)

func (s *Service) newDriver(purpose Purpose, c Claim, shard fleet.LedgerShard) *driver {
	proposerID := s.lastProposerID.Add(1)
	return &driver{
		service:  s,
		proposer: NewProposer(purpose, c, s.self, proposerID),
		claim:    c,
		shard:    shard,
		random:   rand.New(rand.NewPCG(s.options.Seed, proposerID)),
		replies:  make(chan replicaReply),
	}
}

// run drives the proposer until it is done. An error means that ctx ended or the
// settings changed first.
func (d *driver) run(ctx context.Context) (Verdict, Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		changed := d.service.options.Source.Changed()
		state := d.service.options.Source.State()
		if d.requireCurrentZones && !zonesMatch(state, d.claim) {
			return VerdictUnset, Record{}, errZonesChanged(d.claim)
		}
		group, ok := state.LedgerGroups[d.shard]
		if ok && d.runAtEpoch(ctx, state, group, changed) {
			verdict, record := d.proposer.Result()
			return verdict, record, nil
		}
		if !ok {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return VerdictUnset, Record{}, trace.ConnectionProblem(ctx.Err(), "no majority of the replicas of ledger shard %s/%d answered", d.shard.ZoneClass, d.shard.Shard)
		}
	}
}

// runAtEpoch drives the proposer until it is done, the group changes or ctx ends. It
// reports whether the proposer is done.
func (d *driver) runAtEpoch(ctx context.Context, state *membership.State, group fleet.LedgerGroup, changed <-chan struct{}) bool {
	d.group = group
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	step := d.proposer.Start(d.service.groupView(state, group))
	waiting := false
	for {
		switch {
		case step.Done:
			return true
		case ctx.Err() != nil:
			return false
		case step.Broadcast != nil:
			waiting = false
			timer.Reset(d.service.options.CallTimeout)
			d.broadcast(ctx, step.Broadcast)
		case step.Retry:
			waiting = true
			timer.Reset(d.retryDelay())
		}
		step = Step{}
		select {
		case a := <-d.replies:
			if !waiting {
				step = d.proposer.HandleReply(a.from, *a.request, a.reply)
			}
		case <-timer.C:
			step = d.handleTimer(waiting)
		case <-changed:
			changed = d.service.options.Source.Changed()
			if d.service.options.Source.State().LedgerGroups[d.shard].Epoch != group.Epoch {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
}

func (d *driver) handleTimer(waiting bool) Step {
	if waiting {
		return d.proposer.Retry()
	}
	return d.proposer.HandleTimeout()
}

func (d *driver) retryDelay() time.Duration {
	maxDelay := initialMaxRetryDelay << min(d.retries, maxRetryDoublings)
	d.retries++
	return time.Duration(d.random.Int64N(int64(maxDelay))) + 1
}

// broadcast sends a request to all replicas concurrently. A call that the proposer no
// longer waits for continues, so that the slowest replica gets the record too; it ends
// within Options.CallTimeout, and its goroutine with it.
func (d *driver) broadcast(ctx context.Context, q *Request) {
	for n, member := range d.group.Replicas {
		go func() {
			reply := d.service.sendRequest(context.WithoutCancel(ctx), d.claim.Team, member.Owner, *q)
			select {
			case d.replies <- replicaReply{from: n, request: q, reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
}
