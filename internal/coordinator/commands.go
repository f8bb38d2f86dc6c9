package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// PutDocument commits a configuration document, which the caller has checked.
// A version that is not higher than the one held is a success without effect.
func (c *Coordinator) PutDocument(ctx context.Context, version int64, source []byte) error {
	err := c.putDocument(ctx, blocks.Split(version, source))
	c.metrics.documents.WithLabelValues(resultOf(err)).Inc()
	c.metrics.version.Set(float64(c.options.Machine.Document().GetVersion()))
	c.options.Part.Info("Configuration was sent.", "version", version, "bytes", len(source), "err", err)
	return err
}

// putDocument commits what the document in force lacks. Where another one came
// into force meanwhile the command may lack blocks and change nothing, and is
// made anew.
func (c *Coordinator) putDocument(ctx context.Context, document *blocks.Document) error {
	for {
		base := c.options.Machine.InForce()
		command := catalog.PutBlocks(document, base)
		if err := c.commit(ctx, command); err != nil {
			return err
		}
		if c.options.Machine.InForce().Version() >= document.Version() {
			return nil
		}
		c.options.Part.Info("Configuration is sent again, another one came before it.",
			"version", document.Version(), "base", base.Version(), "in_force", c.options.Machine.InForce().Version())
	}
}

// ReadDocument gives the newest document, nil when there is none yet. It asks
// the leader's quorum: a member that was cut off holds an older one.
func (c *Coordinator) ReadDocument(ctx context.Context) (*pb.ConfigDocument, error) {
	index, err := c.readIndex(ctx)
	if err != nil {
		return nil, err
	}
	if err := c.options.Machine.AwaitApplied(ctx, index); err != nil {
		return nil, trace.Wrap(ErrUnavailable, "%v", err)
	}
	return c.options.Machine.Document(), nil
}

// ReportEndpoint takes in an endpoint's heartbeat. Only one that changes its
// record goes through the log; the others count as heard, at a member that
// knows itself in touch: elsewhere the leader wouldn't hear of them, and the
// endpoint must turn to another member.
func (c *Coordinator) ReportEndpoint(ctx context.Context, r *pb.EndpointRecord) error {
	err := c.takeHeartbeat(ctx, r)
	c.metrics.heartbeats.WithLabelValues(resultOf(err)).Inc()
	return err
}

func (c *Coordinator) takeHeartbeat(ctx context.Context, r *pb.EndpointRecord) error {
	known := c.options.Machine.Endpoint(r.Id)
	if catalog.Contradicts(known, r) {
		return trace.Wrap(ErrContradiction, "endpoint %s of service %s at %s", r.Id, known.Service, known.Address)
	}
	if catalog.Changes(known, r) {
		if err := c.commitReport(ctx, r); err != nil {
			return err
		}
		known = c.options.Machine.Endpoint(r.Id)
	} else if !c.current(time.Now()) {
		return trace.Wrap(ErrUnavailable, "this member is out of touch")
	}
	if known.GetState() != pb.EndpointState_ENDPOINT_STATE_GONE && known.GetBorn() == r.Born {
		c.noteHeard(r.Id)
	}
	return nil
}

// commitReport tries once: an endpoint sends its next heartbeat, or turns to
// another member, by itself. One that leaves is waited for: it may be gone
// before it finds a member that knows a leader.
//
// Failure: thousands of endpoints start with the fleet, before there is a
// leader. Heartbeats that each tried on until their time was up took all of
// the processor, and the group was never formed. The guard holds because what
// can't be committed now is answered at once, and the rest goes together.
func (c *Coordinator) commitReport(ctx context.Context, r *pb.EndpointRecord) error {
	err := c.sendReport(ctx, r)
	c.options.Part.Info("Endpoint reported.", "endpoint", r.Id, "service", r.Service, "address", r.Address,
		"state", r.State, "stage", r.Stage, "born", r.Born, "seq", r.Sequence, "err", err)
	return err
}

func (c *Coordinator) sendReport(ctx context.Context, r *pb.EndpointRecord) error {
	if r.State == pb.EndpointState_ENDPOINT_STATE_DRAINING {
		return c.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: r}})
	}
	if c.leaderAddress() == "" {
		return trace.Wrap(ErrUnavailable, "no leader is known")
	}
	return c.reports.endpoint(ctx, r)
}

// RetireEndpoint ends an endpoint's incarnation for good: the one that started
// at born, Unix ms, or the one that is known where born is 0.
func (c *Coordinator) RetireEndpoint(ctx context.Context, id string, born uint64) error {
	err := c.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: id, Born: born}}})
	c.options.Part.Info("Endpoint left.", "endpoint", id, "born", born, "err", err)
	return err
}

// RefuseHeartbeat notes a heartbeat that could not be taken in. Whoever sends
// them may send many: lines are bounded, the counter tells the rest.
func (c *Coordinator) RefuseHeartbeat(id string, cause error) {
	c.metrics.heartbeats.WithLabelValues("refused").Inc()
	if !c.refusals.Allow() {
		return
	}
	c.options.Part.Warn("Heartbeat was refused.", "endpoint", id, "err", cause)
}

// commitOnce is commit without a second try.
func (c *Coordinator) commitOnce(ctx context.Context, command *pb.CatalogCommand) error {
	data, err := proto.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	index, err := c.propose(ctx, data)
	if err != nil {
		return trace.Wrap(ErrUnavailable, "%v", err)
	}
	return nilOrUnavailable(c.options.Machine.AwaitApplied(ctx, index))
}

// commit has a command applied, here too, before it returns nil. All commands
// are idempotent, so one whose outcome is uncertain is just sent again.
func (c *Coordinator) commit(ctx context.Context, command *pb.CatalogCommand) error {
	data, err := proto.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		index, err := c.propose(ctx, data)
		if err == nil {
			return nilOrUnavailable(c.options.Machine.AwaitApplied(ctx, index))
		}
		c.options.Part.Debug("Command was not committed yet.", "err", err)
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

func nilOrUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(ErrUnavailable, "%v", err)
}

// propose hands a command to the leader.
func (c *Coordinator) propose(ctx context.Context, command []byte) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		return c.proposeHere(ctx, command)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout(len(command)))
	defer cancel()
	client, err := c.leader(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.Propose(ctx, &pb.ProposeRequest{Command: command})
	return reply.GetIndex(), err
}

func (c *Coordinator) leader(ctx context.Context) (pb.DRPCCoordinatorClient, error) {
	address := c.leaderAddress()
	if address == "" {
		return nil, trace.Wrap(ErrUnavailable, "no leader is known")
	}
	return c.client(ctx, address)
}

// proposeHere commits a command as leader.
func (c *Coordinator) proposeHere(ctx context.Context, command []byte) (uint64, error) {
	if voters := c.voters(); voters < c.options.firstVoters() {
		return 0, trace.Wrap(ErrUnavailable, "only %d control instances vote yet", voters)
	}
	applied, err := c.options.Group.Propose(ctx, command)
	return applied.Index, trace.Wrap(err)
}

func (c *Coordinator) voters() int {
	n := 0
	for _, m := range c.options.Group.Status().Members {
		if !m.Member.Learner {
			n++
		}
	}
	return n
}

// readIndex gives the index up to which a reader must have applied the log to
// hold all that was committed before the call.
func (c *Coordinator) readIndex(ctx context.Context) (uint64, error) {
	for {
		index, err := c.tryReadIndex(ctx)
		if err == nil {
			return index, nil
		}
		if err := pause(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

func (c *Coordinator) tryReadIndex(ctx context.Context) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		return c.readIndexHere(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.leader(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.ReadIndex(ctx, &pb.ReadIndexRequest{})
	return reply.GetIndex(), err
}

func (c *Coordinator) readIndexHere(ctx context.Context) (uint64, error) {
	if err := c.options.Group.ReadBarrier(ctx); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.options.Machine.Applied(), nil
}
