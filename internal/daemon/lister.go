package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// endpointLister asks every entry for the endpoints whose home it is. It is
// for operators, not for routing.
type endpointLister struct {
	base *base
	own  *entryRole // nil without the role
}

func newEndpointLister(b *base, own *entryRole) endpointLister {
	return endpointLister{base: b, own: own}
}

// The lister's bounds.
const (
	listers     = 16
	listTimeout = 2 * time.Second
)

func (l endpointLister) list(ctx context.Context) ([]*pb.EndpointDigest, error) {
	instances := make(chan fleet.Instance)
	var mu sync.Mutex
	var all []*pb.EndpointDigest
	var workers sync.WaitGroup
	for range listers {
		workers.Go(func() {
			for instance := range instances {
				digests := l.ask(ctx, instance)
				mu.Lock()
				all = append(all, digests...)
				mu.Unlock()
			}
		})
	}
	for _, instance := range l.base.agent.State().View.Instances {
		if instance.Entry {
			instances <- instance
		}
	}
	close(instances)
	workers.Wait()
	sort.Slice(all, func(a, b int) bool { return all[a].GetId() < all[b].GetId() })
	return all, nil
}

// ask gives nothing for an entry that doesn't answer: its endpoints announce
// themselves to a new home.
func (l endpointLister) ask(ctx context.Context, instance fleet.Instance) []*pb.EndpointDigest {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request := &pb.DigestRequest{Owner: l.base.self.Owner().Proto(), ViewNumber: l.base.agent.State().View.Number}
	if l.own != nil && instance.ID == l.base.self.ID {
		reply, err := l.own.home.Digest(ctx, request)
		if err != nil {
			return nil
		}
		return reply.GetDigests()
	}
	conn, err := l.base.pool.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return nil
	}
	reply, err := pb.NewDRPCHomeClient(conn).Digest(ctx, request)
	if err != nil {
		return nil
	}
	return reply.GetDigests()
}
