package tunnel

import (
	"context"
	"errors"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/logging"
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

// ControlDirectory asks control instances for siblings. It is safe for concurrent use.
type ControlDirectory struct {
	options   ControlDirectoryOptions
	instances *backoff.Caller

	mu      sync.Mutex // guards the fields below
	known   []string
	askedAt time.Time
}

// ControlDirectoryOptions configures a ControlDirectory.
type ControlDirectoryOptions struct {
	Dialer  backoff.Dialer
	Members func() []string // addresses of the control instances
	Shuffle func(n int, swap func(i, j int))
	Entry   string // ID of this entry
	Zone    string // of this entry
	Part    logging.Part
}

// NewControlDirectory returns a ControlDirectory.
func NewControlDirectory(o ControlDirectoryOptions) *ControlDirectory {
	return &ControlDirectory{options: o, instances: backoff.NewCaller(backoff.CallerOptions{
		Dialer: o.Dialer, Shuffle: o.Shuffle, Timeout: askTimeout, MinPause: minMemberPause, MaxPause: maxMemberPause,
	})}
}

// Siblings implements Directory. Without an answer it returns those that were known before.
func (d *ControlDirectory) Siblings(ctx context.Context) []string {
	known, isFresh := d.latest(time.Now())
	if isFresh {
		return known
	}
	list := d.askAll(ctx)
	if len(list) == 0 {
		return known
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known, d.askedAt = list, time.Now()
	return list
}

func (d *ControlDirectory) latest(now time.Time) (known []string, isFresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known, len(d.known) > 0 && now.Sub(d.askedAt) < siblingsTTL
}

func (d *ControlDirectory) askAll(ctx context.Context) []string {
	asked := 0
	for _, instance := range d.instances.Shuffled(d.options.Members()) {
		if asked == maxAsked || ctx.Err() != nil {
			return nil
		}
		list, err := d.ask(ctx, instance)
		if errors.Is(err, backoff.ErrSkipped) {
			continue
		}
		if err != nil {
			d.options.Part.Info("A control instance named no siblings.", "instance", instance, "err", err)
		}
		if len(list) > 0 {
			return list
		}
		asked++
	}
	return nil
}

func (d *ControlDirectory) ask(ctx context.Context, instance string) (list []string, err error) {
	err = d.instances.Call(ctx, instance, func(ctx context.Context, conn drpc.Conn) error {
		reply, err := pb.NewDRPCCoordinatorClient(conn).Siblings(ctx, &pb.SiblingsRequest{Entry: d.options.Entry, Zone: d.options.Zone})
		list = reply.GetAddresses()
		return err
	})
	return list, err
}
