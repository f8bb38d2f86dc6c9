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

// ErrRejoin is returned by Run when the fleet has removed this process's
// incarnation, as after a long network partition or process freeze. The daemon has
// failed its requests and closed its listeners; New builds it again under a new
// incarnation.
var ErrRejoin = errors.New("the fleet has removed this incarnation")

// Daemon is one incarnation of a hyssopsaild process.
type Daemon struct {
	base    *base
	control *controlRole // nil without the role
	entry   *entryRole   // nil without the role
	servers servers
}

// New opens the listeners and builds the roles that cfg names. It writes the ports
// that the kernel chose into the listeners of cfg, so that a later New listens on the
// same ports.
func New(cfg *config.Daemon, logger log.Logger) (*Daemon, error) {
	limitProcessors()
	opened, err := openListeners(cfg)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d, err := build(*cfg, logger, opened)
	if err != nil {
		opened.close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func build(cfg config.Daemon, logger log.Logger, opened listeners) (*Daemon, error) {
	b, err := newBase(cfg, logger, opened, newIncarnation(time.Now()))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := &Daemon{base: b}
	if cfg.Has(config.RoleControl) {
		d.control, err = newControlRole(b)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if cfg.Has(config.RoleEntry) {
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

// Run serves until ctx ends, then stops gracefully and returns nil. It returns
// ErrRejoin when the fleet has removed this incarnation, and another error when a
// component failed.
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
		d.abort()
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

// partName is the log prefix of this package.
const partName = "daemon"

func newPart(logger log.Logger, name string) logging.Part { return logging.NewPart(logger, name) }
