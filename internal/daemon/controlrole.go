package daemon

import (
	"context"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// controlRole is a member of the control group.
type controlRole struct {
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
		Dir:        b.file.DataFolder,
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
		Recorder:   b.ring,
	})
	if err := pb.DRPCRegisterControl(b.rpc.Mux, server); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := pb.DRPCRegisterConsensus(b.rpc.Mux, server); err != nil {
		return nil, trace.Wrap(err)
	}
	return &controlRole{node: node, transport: transport, server: server}, nil
}

func (c *controlRole) start(group *errgroup.Group, work context.Context) {
	group.Go(func() error { return c.transport.Run(work) })
	group.Go(func() error { return c.node.Run(work) })
	group.Go(func() error { return c.server.Run(work) })
}
