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

// The bounds of a poll.
const (
	pollers     = 16
	pollTimeout = 2 * time.Second
	maxEngines  = 16384 // of a region; more are not planned
)

// poller asks the region's entries for their counts and endpoints.
type poller struct {
	options Options
	meter   *Meter
	home    *GatedHome
	metrics *metrics
}

// answer is one entry's part of a look.
type answer struct {
	demand  *pb.DemandReply
	digests []*pb.EndpointDigest
}

// look asks all entries. It fails unless each has answered: the endpoints of a
// silent entry would seem to be gone, and others be ordered to take their
// place.
func (p *poller) look(ctx context.Context, entries []fleet.Instance) ([]*pb.DemandReply, []Engine, error) {
	answers := make([]answer, len(entries))
	errs := make([]error, len(entries))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(pollers, len(entries)) {
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

func (p *poller) merge(answers []answer) ([]*pb.DemandReply, []Engine, error) {
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

func (p *poller) ask(ctx context.Context, entry fleet.Instance) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &pb.DigestRequest{
		Owner:        p.options.Source.Self().Owner().Proto(),
		ViewNumber:   p.options.Source.State().View.Number,
		CacheVersion: noCaches,
	}
	if entry.Owner() == p.options.Source.Self().Owner() {
		digests, err := p.home.Digest(ctx, request)
		return answer{p.meter.Reply(), digests.GetDigests()}, trace.Wrap(err)
	}
	conn, err := p.options.Dialer.Conn(ctx, entry.RPCAddress)
	if err != nil {
		return answer{}, trace.Wrap(err)
	}
	demand, err := pb.NewDRPCProvisionClient(conn).Demand(ctx, &pb.DemandRequest{})
	if err != nil {
		return answer{}, trace.Wrap(err)
	}
	digests, err := pb.NewDRPCHomeClient(conn).Digest(ctx, request)
	if err != nil {
		return answer{}, trace.Wrap(err)
	}
	p.metrics.pollBytes.Add(float64(proto.Size(demand) + proto.Size(digests)))
	return answer{demand, digests.GetDigests()}, nil
}
