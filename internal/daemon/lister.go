package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// endpointLister lists the endpoints of all entries, each as reported by its home. It
// serves operators; routing doesn't use it.
type endpointLister struct {
	base       *base
	localEntry *entryRole // nil without the role
}

func newEndpointLister(b *base, localEntry *entryRole) endpointLister {
	return endpointLister{base: b, localEntry: localEntry}
}

const (
	listWorkers = 16              // entries asked at once
	listTimeout = 2 * time.Second // for each entry
)

func (l endpointLister) list(ctx context.Context) ([]*pb.EndpointDigest, error) {
	instances := make(chan fleet.Instance)
	var mu sync.Mutex
	var all []*pb.EndpointDigest
	var workers sync.WaitGroup
	for range listWorkers {
		workers.Go(func() {
			for instance := range instances {
				digests := l.digests(ctx, instance)
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

// digests returns the endpoints of one entry, or nil when the entry doesn't answer: its
// endpoints then announce themselves to a new home.
func (l endpointLister) digests(ctx context.Context, instance fleet.Instance) []*pb.EndpointDigest {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request := &pb.DigestRequest{Owner: l.base.self.Owner().Proto(), ViewNumber: l.base.agent.State().View.Number}
	if l.localEntry != nil && instance.ID == l.base.self.ID {
		reply, err := l.localEntry.home.Digest(ctx, request)
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
