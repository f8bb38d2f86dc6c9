package daemon

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/crashboard"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// controlRole is a member of the control group.
type controlRole struct {
	part      logging.Part
	node      *replica.Node
	transport *replica.DRPCTransport
	server    *control.Server
}

func newControlRole(b *base) (*controlRole, error) {
	machine := control.NewMachine(control.MachineOptions{
		Check: settings.CheckChange,
		Build: settings.Build,
	})
	transport := replica.NewTransport(b.pool, newPart(b.logger, "transport"))
	node, err := replica.New(replica.Options{
		InstanceID: string(b.self.ID),
		RPCAddress: b.self.RPCAddress,
		Dir:        b.config.DataFolder,
		FS:         storage.OSFS{},
		Machine:    machine,
		Transport:  transport,
		Part:       newPart(b.logger, "replica"),
		Registerer: b.registry,
		Seed:       uint64(b.self.Incarnation),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server := control.NewServer(control.ServerOptions{
		Group:      node,
		Machine:    machine,
		Self:       b.self,
		Dialer:     b.pool,
		Part:       newPart(b.logger, "control"),
		Registerer: b.registry,
		Recorder:   b.timelineRing,
	})
	if err := pb.DRPCRegisterControl(b.rpc.Mux, server); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := pb.DRPCRegisterConsensus(b.rpc.Mux, server); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := pb.DRPCRegisterCrashBoard(b.rpc.Mux, crashboard.NewBoard(rand.Uint64(), b.registry)); err != nil {
		return nil, trace.Wrap(err)
	}
	return &controlRole{part: newPart(b.logger, "replica"), node: node, transport: transport, server: server}, nil
}

func (c *controlRole) start(group *errgroup.Group, work context.Context) {
	group.Go(func() error { return c.transport.Run(work) })
	group.Go(func() error { return c.runNode(work) })
	group.Go(func() error { return c.server.Run(work) })
}

// runNode runs the replica and keeps the daemon running when its disk fails. The
// member has then stepped down and no longer answers, but the entry role needs no
// disk and continues under a lease that the other members renew. Ending the
// process would cut off requests in flight that the fault does not affect.
func (c *controlRole) runNode(work context.Context) error {
	err := c.node.Run(work)
	if !errors.Is(err, replica.ErrStorage) {
		return err
	}
	c.part.Error("The disk failed; this control instance has stepped down. Replace the disk.", "err", err)
	return nil
}

// handOverLeadership transfers leadership to another member, so that a planned stop
// doesn't leave the group without a leader.
func (c *controlRole) handOverLeadership(ctx context.Context) {
	if err := c.node.TransferLeadership(ctx); err != nil {
		c.part.Info("Leadership was not handed over.", "err", err)
	}
}
