package provision

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Limits of a poll.
const (
	maxPollCalls = 16 // concurrent calls
	pollTimeout  = 2 * time.Second
	maxEngines   = 16384 // engines of a region; further ones are ignored
)

// poller collects counts and endpoints from the region's entries.
type poller struct {
	options Options
	meter   *Meter
	home    *GatedHome
	metrics *metrics
}

// pollReply is the reply of one entry to a poll.
type pollReply struct {
	demand  *pb.DemandReply
	digests []*pb.EndpointDigest
}

// pollAll polls all entries. It fails unless every entry answers: the endpoints
// of an unreachable entry would seem to be removed, and the plan would replace
// them.
func (p *poller) pollAll(ctx context.Context, entries []fleet.Instance) ([]*pb.DemandReply, []Engine, error) {
	answers := make([]pollReply, len(entries))
	errs := make([]error, len(entries))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(maxPollCalls, len(entries)) {
		workers.Go(func() {
			for n := range next {
				answers[n], errs[n] = p.ask(ctx, entries[n])
			}
		})
	}
	for n := range entries {
		next <- n
	}
	close(next)
	workers.Wait()
	if err := trace.NewAggregate(errs...); err != nil {
		return nil, nil, err
	}
	return p.merge(answers)
}

func (p *poller) merge(answers []pollReply) ([]*pb.DemandReply, []Engine, error) {
	var replies []*pb.DemandReply
	known := make(map[fleet.EndpointID]Engine)
	for _, a := range answers {
		replies = append(replies, a.demand)
		for _, d := range a.digests {
			e, ok := EngineOf(d)
			if !ok || len(known) >= maxEngines || known[e.Target.ID].Target.Incarnation > e.Target.Incarnation {
				continue
			}
			known[e.Target.ID] = e
		}
	}
	engines := make([]Engine, 0, len(known))
	for _, e := range known {
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return cmp.Compare(a.Target.ID, b.Target.ID) })
	return replies, engines, nil
}

func (p *poller) ask(ctx context.Context, entry fleet.Instance) (pollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &pb.DigestRequest{
		Owner:        p.options.Source.Self().Owner().Proto(),
		ViewNumber:   p.options.Source.State().View.Number,
		CacheVersion: noCaches,
	}
	if entry.Owner() == p.options.Source.Self().Owner() {
		digests, err := p.home.Digest(ctx, request)
		return pollReply{p.meter.Reply(), digests.GetDigests()}, trace.Wrap(err)
	}
	conn, err := p.options.Dialer.Conn(ctx, entry.RPCAddress)
	if err != nil {
		return pollReply{}, trace.Wrap(err)
	}
	demand, err := pb.NewDRPCProvisionClient(conn).Demand(ctx, &pb.DemandRequest{})
	if err != nil {
		return pollReply{}, trace.Wrap(err)
	}
	digests, err := pb.NewDRPCHomeClient(conn).Digest(ctx, request)
	if err != nil {
		return pollReply{}, trace.Wrap(err)
	}
	p.metrics.pollBytes.Add(float64(proto.Size(demand) + proto.Size(digests)))
	return pollReply{demand, digests.GetDigests()}, nil
}
