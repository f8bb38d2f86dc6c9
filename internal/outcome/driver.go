package outcome

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// driver feeds one proposer with replies and timeouts.
type driver struct {
	service  *Service
	proposer *Proposer
	claim    Claim
	current  bool // stop when the settings no longer permit just the claim's zones
	shard    fleet.LedgerShard
	random   *rand.Rand
	arrivals chan arrival
	group    fleet.LedgerGroup
	retries  int
}

// arrival is a reply on its way to the proposer.
type arrival struct {
	from    int
	request *Request
	reply   Reply
}

// The waits between rounds, random below a bound that doubles, so that two
// proposers of one key don't overtake each other for ever.
const (
	firstWait = time.Millisecond
	mostWaits = 7 // doublings
)

func (s *Service) newDriver(purpose Purpose, c Claim, shard fleet.LedgerShard) *driver {
	number := s.numbers.Add(1)
	return &driver{
		service:  s,
		proposer: NewProposer(purpose, c, s.self, number),
		claim:    c,
		shard:    shard,
		random:   rand.New(rand.NewPCG(s.options.Seed, number)),
		arrivals: make(chan arrival),
	}
}

// run drives the proposer to its end. An error means that ctx ended or the
// settings changed first.
func (d *driver) run(ctx context.Context) (Verdict, Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		changed := d.service.options.Source.Changed()
		state := d.service.options.Source.State()
		if d.current && !sameZones(state, d.claim) {
			return VerdictUnset, Record{}, errZonesChanged(d.claim)
		}
		group, ok := state.LedgerGroups[d.shard]
		if ok && d.atEpoch(ctx, state, group, changed) {
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

// atEpoch drives the proposer until it is done (true), the group changes or
// ctx ends.
func (d *driver) atEpoch(ctx context.Context, state *membership.State, group fleet.LedgerGroup, changed <-chan struct{}) bool {
	d.group = group
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	step := d.proposer.Start(d.service.circumstances(state, group))
	waiting := false
	for {
		switch {
		case step.Done:
			return true
		case ctx.Err() != nil:
			return false
		case step.Broadcast != nil:
			waiting = false
			timer.Reset(d.service.options.Call)
			d.broadcast(ctx, step.Broadcast)
		case step.Retry:
			waiting = true
			timer.Reset(d.wait())
		}
		step = Step{}
		select {
		case a := <-d.arrivals:
			if !waiting {
				step = d.proposer.Reply(a.from, *a.request, a.reply)
			}
		case <-timer.C:
			step = d.expired(waiting)
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

func (d *driver) expired(waiting bool) Step {
	if waiting {
		return d.proposer.Retry()
	}
	return d.proposer.Timeout()
}

func (d *driver) wait() time.Duration {
	most := firstWait << min(d.retries, mostWaits)
	d.retries++
	return time.Duration(d.random.Int64N(int64(most))) + 1
}

// broadcast sends to all replicas at once. A call that the proposer no longer
// waits for goes on, so that the slowest replica gets the record too; it ends
// within Options.Call, and its goroutine with it.
func (d *driver) broadcast(ctx context.Context, q *Request) {
	for n, member := range d.group.Replicas {
		go func() {
			reply := d.service.ask(context.WithoutCancel(ctx), d.claim.Team, member.Owner, *q)
			select {
			case d.arrivals <- arrival{from: n, request: q, reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
}
