package tunnel

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const (
	// siblingsTTL is how long an answer is used.
	siblingsTTL = 2 * time.Second
	// askTimeout is the timeout of one question to a control instance.
	askTimeout = 60 * time.Millisecond
	// maxAsked is how many control instances are asked at a time.
	maxAsked = 2
	// minMemberPause and maxMemberPause limit how long a control instance is not asked
	// after a failure.
	minMemberPause = 250 * time.Millisecond
	maxMemberPause = 2 * time.Second
)

// Directory names siblings of an entry.
type Directory interface {
	// Siblings returns the peer addresses of siblings that reach endpoints, in any order.
	Siblings(ctx context.Context) []string
}

// ControlDirectory asks control instances for siblings. It is safe for concurrent use if
// Shuffle is.
type ControlDirectory struct {
	Dialer  Dialer
	Members func() []string // addresses of the control instances
	Shuffle func(n int, swap func(i, j int))
	Entry   string // ID of this entry
	Zone    string // of this entry

	once   sync.Once
	failed *backoff.Peers // control instances

	mu      sync.Mutex // guards the fields below
	known   []string
	askedAt time.Time
}

// Siblings implements Directory. Without an answer it returns those that were known before.
func (d *ControlDirectory) Siblings(ctx context.Context) []string {
	d.once.Do(func() { d.failed = backoff.New(minMemberPause, maxMemberPause) })
	now := time.Now()
	d.mu.Lock()
	known, isFresh := d.known, now.Sub(d.askedAt) < siblingsTTL
	d.mu.Unlock()
	if isFresh && len(known) > 0 {
		return known
	}
	if list := d.askAll(ctx); len(list) > 0 {
		d.mu.Lock()
		d.known, d.askedAt = list, now
		d.mu.Unlock()
		return list
	}
	return known
}

func (d *ControlDirectory) askAll(ctx context.Context) []string {
	members := slices.Clone(d.Members())
	d.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	asked := 0
	for _, member := range members {
		if asked == maxAsked || ctx.Err() != nil {
			return nil
		}
		if !d.failed.Available(member, time.Now()) {
			continue
		}
		asked++
		list, err := d.ask(ctx, member)
		if err != nil && ctx.Err() == nil {
			d.failed.RecordFailure(member, time.Now())
			continue
		}
		d.failed.RecordSuccess(member)
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

func (d *ControlDirectory) ask(ctx context.Context, member string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := d.Dialer.Conn(ctx, member)
	if err != nil {
		return nil, err
	}
	reply, err := pb.NewDRPCCoordinatorClient(conn).Siblings(ctx, &pb.SiblingsRequest{Entry: d.Entry, Zone: d.Zone})
	return reply.GetAddresses(), err
}
