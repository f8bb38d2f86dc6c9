package endpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// leaveRecipientsPerZone is how many instances in each zone receive a leave:
// the home and those that would be home after it.
const leaveRecipientsPerZone = 2

// spreadLeave records a leave here and forwards it to the endpoint's possible
// homes. A leave doesn't name the zone, so the first instances of each zone
// receive it, one of which is the home. It reports whether the home has
// confirmed; if not, the endpoint reports the leave to another entry.
func (h *Home) spreadLeave(ctx context.Context, l engineapi.Leave) bool {
	var confirmed atomic.Bool
	h.step(func(c *core, _ time.Time) { confirmed.Store(c.leave(l.ID, l.Incarnation)) })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range h.possibleHomes(l.ID) {
		calls.Go(func() {
			if h.forwardLeave(ctx, address, l) {
				confirmed.Store(true)
			}
		})
	}
	calls.Wait()
	return confirmed.Load()
}

// possibleHomes returns RPC addresses, at most leaveRecipientsPerZone for each
// zone.
func (h *Home) possibleHomes(id fleet.EndpointID) []string {
	self := h.options.Source.Self().ID
	byZone := make(map[fleet.AvailabilityZone][]fleet.Instance)
	for _, i := range h.options.Source.State().View.Instances {
		if i.Entry && !i.Draining {
			byZone[i.Zone] = append(byZone[i.Zone], i)
		}
	}
	var list []string
	for zone, instances := range byZone {
		ranked := fleet.RankInstances(string(id), zone, instances)
		for _, i := range ranked[:min(leaveRecipientsPerZone, len(ranked))] {
			if i.ID != self {
				list = append(list, i.RPCAddress)
			}
		}
	}
	return list
}

func (h *Home) forwardLeave(ctx context.Context, address string, l engineapi.Leave) bool {
	conn, err := h.options.Dialer.Conn(ctx, address)
	if err != nil {
		return false
	}
	reply, err := pb.NewDRPCHomeClient(conn).Leave(ctx, &pb.LeaveRequest{
		EndpointId:          string(l.ID),
		EndpointIncarnation: uint64(l.Incarnation),
	})
	if err != nil {
		h.options.Part.Debug("Forwarding a leave failed.", "endpoint", l.ID, "address", address, "err", err)
		return false
	}
	return reply.GetConfirmed()
}
