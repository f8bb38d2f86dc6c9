package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// ErrRejoin is why Run ends when the fleet has given this process's
// incarnation up, as after a long cut or freeze. The process has failed its
// requests and closed its listeners; New makes it again under a new
// incarnation.
var ErrRejoin = errors.New("this incarnation has lost its place in the fleet")

// Daemon is one incarnation of a hyssopsaild process.
type Daemon struct {
	base    *base
	control *controlRole // nil without the role
	entry   *entryRole   // nil without the role
	servers servers
}

// New opens the listeners and builds the roles that the file names. The file's
// listeners are completed by the ports that the kernel chose, so that a later
// New listens on the same ones.
func New(file *config.Daemon, logger log.Logger) (*Daemon, error) {
	limitProcessors()
	opened, err := openListeners(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d, err := build(*file, logger, opened)
	if err != nil {
		opened.close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func build(file config.Daemon, logger log.Logger, opened listeners) (*Daemon, error) {
	b, err := newBase(file, logger, opened, newIncarnation(time.Now()))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{base: b}
	if file.Has(config.RoleControl) {
		d.control, err = newControlRole(b)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if file.Has(config.RoleEntry) {
		d.entry, err = newEntryRole(b)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	d.servers, err = newServers(b, d.entry, d.control)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return d, nil
}

// Run serves until ctx ends, and then stops gracefully: nil. It gives
// ErrRejoin when this incarnation has lost its place, and another error when a
// part failed.
func (d *Daemon) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, work := errgroup.WithContext(work)
	d.start(group, work)
	d.base.part.Info("Started.",
		"instance", d.base.self.ID,
		"incarnation", uint64(d.base.self.Incarnation),
		"rpc", d.base.self.RPCAddress,
		"callers", d.base.self.CallerAddress,
		"endpoints", d.base.self.EndpointAddress,
		"operators", d.base.self.OperatorAddress)
	select {
	case <-ctx.Done():
		d.stop()
	case <-work.Done():
		d.abandon()
	}
	cancel()
	err := group.Wait()
	d.base.close()
	if errors.Is(err, membership.ErrFenced) {
		return ErrRejoin
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func (d *Daemon) start(group *errgroup.Group, work context.Context) {
	group.Go(func() error { return d.base.rpc.Serve(work, d.base.listeners.rpc) })
	d.servers.start(group)
	if d.control != nil {
		d.control.start(group, work)
	}
	group.Go(func() error { return d.base.agent.Run(work) })
	if d.entry != nil {
		d.entry.start(group, work, d.base.agent)
	}
}

// Parts for logs.
const partName = "daemon"

func newPart(logger log.Logger, name string) logging.Part { return logging.For(logger, name) }
