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

// PutDocument commits a configuration document, which the caller has checked. A version
// that is not higher than the current one is accepted without effect.
func (c *Coordinator) PutDocument(ctx context.Context, version int64, source []byte) error {
	err := c.putDocument(ctx, blocks.Split(version, source))
	c.metrics.documents.WithLabelValues(resultOf(err)).Inc()
	c.metrics.version.Set(float64(c.options.Machine.Document().GetVersion()))
	c.options.Part.Info("Configuration update processed.", "version", version, "bytes", len(source), "err", err)
	return err
}

// putDocument commits the blocks that the document in force lacks. If another document
// came into force meanwhile, the command may lack blocks and have no effect; it is then
// built again on the new base.
func (c *Coordinator) putDocument(ctx context.Context, document *blocks.Document) error {
	for {
		base := c.options.Machine.CurrentDocument()
		command := catalog.PutBlocksCommand(document, base)
		if err := c.commit(ctx, command); err != nil {
			return err
		}
		if c.options.Machine.CurrentDocument().Version() >= document.Version() {
			return nil
		}
		c.options.Part.Info("Configuration is sent again, another one came before it.",
			"version", document.Version(), "base", base.Version(), "in_force", c.options.Machine.CurrentDocument().Version())
	}
}

// ReadDocument returns the newest document, or nil if there is none yet. It confirms with
// a quorum, as a member that was cut off may hold an older document.
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

// ReportEndpoint processes an endpoint's heartbeat. Only a heartbeat that changes the
// endpoint's record goes through the log. Others count as seen, but only while
// this member is in contact with the leader: otherwise the leader would not learn of
// them, and the endpoint must turn to another member.
func (c *Coordinator) ReportEndpoint(ctx context.Context, r *pb.EndpointRecord) error {
	err := c.applyHeartbeat(ctx, r)
	c.metrics.heartbeats.WithLabelValues(resultOf(err)).Inc()
	return err
}

func (c *Coordinator) applyHeartbeat(ctx context.Context, r *pb.EndpointRecord) error {
	known := c.options.Machine.Endpoint(r.Id)
	if catalog.Conflicts(known, r) {
		return trace.Wrap(ErrConflictingHeartbeat, "endpoint %s of service %s at %s", r.Id, known.Service, known.Address)
	}
	if catalog.EndpointChanges(known, r) {
		if err := c.commitReport(ctx, r); err != nil {
			return err
		}
		known = c.options.Machine.Endpoint(r.Id)
	} else if !c.current(time.Now()) {
		return trace.Wrap(ErrUnavailable, "this member is out of touch")
	}
	if known.GetState() != pb.EndpointState_ENDPOINT_STATE_GONE && known.GetBorn() == r.Born {
		c.recordEndpointSeen(r.Id)
	}
	return nil
}

// commitReport makes one attempt: an endpoint sends its next heartbeat, or turns to
// another member, by itself. The report of an endpoint that drains is retried until ctx
// ends: it may have stopped before it finds a member that knows a leader.
//
// One attempt only, because thousands of endpoints start with the fleet before there is a
// leader: when each heartbeat was retried until its deadline, the retries used up the
// processor and the group was never formed. So a report that can't be committed now is
// refused at once, and the others are committed in batches.
func (c *Coordinator) commitReport(ctx context.Context, r *pb.EndpointRecord) error {
	err := c.submitReport(ctx, r)
	c.options.Part.Info("Endpoint reported.", "endpoint", r.Id, "service", r.Service, "address", r.Address,
		"state", r.State, "stage", r.Stage, "born", r.Born, "seq", r.Sequence, "err", err)
	return err
}

func (c *Coordinator) submitReport(ctx context.Context, r *pb.EndpointRecord) error {
	if r.State == pb.EndpointState_ENDPOINT_STATE_DRAINING {
		return c.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: r}})
	}
	if c.leaderAddress() == "" {
		return trace.Wrap(ErrUnavailable, "no leader is known")
	}
	return c.reports.submitEndpoint(ctx, r)
}

// RetireEndpoint ends an endpoint's incarnation permanently: the one that started at born
// (Unix ms), or the known one if born is 0.
func (c *Coordinator) RetireEndpoint(ctx context.Context, id string, born uint64) error {
	err := c.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: id, Born: born}}})
	c.options.Part.Info("Endpoint retired.", "endpoint", id, "born", born, "err", err)
	return err
}

// RecordRefusedHeartbeat counts and logs a heartbeat that could not be processed. The log is
// rate-limited, as a faulty sender may send many; the counter has them all.
func (c *Coordinator) RecordRefusedHeartbeat(id string, cause error) {
	c.metrics.heartbeats.WithLabelValues("refused").Inc()
	if !c.refusalLog.Allow() {
		return
	}
	c.options.Part.Warn("Heartbeat rejected.", "endpoint", id, "err", cause)
}

// commitOnce is commit without retries.
func (c *Coordinator) commitOnce(ctx context.Context, command *pb.CatalogCommand) error {
	data, err := proto.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	index, err := c.propose(ctx, data)
	if err != nil {
		return trace.Wrap(ErrUnavailable, "%v", err)
	}
	return wrapUnavailable(c.options.Machine.AwaitApplied(ctx, index))
}

// commit commits a command and returns nil once it is applied at this member. All
// commands are idempotent, so a command whose outcome is uncertain is sent again until
// ctx ends.
func (c *Coordinator) commit(ctx context.Context, command *pb.CatalogCommand) error {
	data, err := proto.Marshal(command)
	if err != nil {
		return trace.Wrap(err)
	}
	for {
		index, err := c.propose(ctx, data)
		if err == nil {
			return wrapUnavailable(c.options.Machine.AwaitApplied(ctx, index))
		}
		c.options.Part.Debug("Command not committed; retrying.", "err", err)
		if err := waitFor(ctx, retryDelay); err != nil {
			return err
		}
	}
}

func wrapUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(ErrUnavailable, "%v", err)
}

// propose submits a command to the leader and returns its log index.
func (c *Coordinator) propose(ctx context.Context, command []byte) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		return c.proposeAsLeader(ctx, command)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout(len(command)))
	defer cancel()
	client, err := c.leaderClient(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.Propose(ctx, &pb.ProposeRequest{Command: command})
	return reply.GetIndex(), err
}

func (c *Coordinator) leaderClient(ctx context.Context) (pb.DRPCCoordinatorClient, error) {
	address := c.leaderAddress()
	if address == "" {
		return nil, trace.Wrap(ErrUnavailable, "no leader is known")
	}
	return c.client(ctx, address)
}

// proposeAsLeader commits a command while this member leads. It refuses until enough
// control instances vote.
func (c *Coordinator) proposeAsLeader(ctx context.Context, command []byte) (uint64, error) {
	if voters := c.voterCount(); voters < c.options.requiredVoters() {
		return 0, trace.Wrap(ErrUnavailable, "only %d control instances vote yet", voters)
	}
	applied, err := c.options.Group.Propose(ctx, command)
	return applied.Index, trace.Wrap(err)
}

func (c *Coordinator) voterCount() int {
	n := 0
	for _, m := range c.options.Group.Status().Members {
		if !m.Member.Learner {
			n++
		}
	}
	return n
}

// readIndex returns the log index that a reader must have applied to see everything
// committed before the call. It retries until ctx ends.
func (c *Coordinator) readIndex(ctx context.Context) (uint64, error) {
	for {
		index, err := c.tryReadIndex(ctx)
		if err == nil {
			return index, nil
		}
		if err := waitFor(ctx, retryDelay); err != nil {
			return 0, err
		}
	}
}

func (c *Coordinator) tryReadIndex(ctx context.Context) (uint64, error) {
	if c.options.Group.Status().IsLeader {
		return c.readIndexAsLeader(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := c.leaderClient(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := client.ReadIndex(ctx, &pb.ReadIndexRequest{})
	return reply.GetIndex(), err
}

func (c *Coordinator) readIndexAsLeader(ctx context.Context) (uint64, error) {
	if err := c.options.Group.ReadBarrier(ctx); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.options.Machine.Applied(), nil
}
