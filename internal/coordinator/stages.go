package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/staging"
)

// EndpointStatus is what an endpoint says of its orders.
type EndpointStatus struct {
	Stage    pb.Stage
	Busy     bool   // an order is under way
	Accepted int64  // orders accepted in this incarnation
	Born     uint64 // start of this incarnation, Unix ms; 0 where it doesn't say
}

// StageOrder asks an endpoint to change its stage.
type StageOrder struct {
	Stage    pb.Stage
	Holder   string // instance that gives the order
	Token    uint64 // fencing token: rises with each holder
	Accepted int64  // that the endpoint must have accepted before
}

// Orders gives orders to endpoints.
type Orders interface {
	Status(ctx context.Context, e *pb.EndpointRecord) (EndpointStatus, error)
	ChangeStage(ctx context.Context, e *pb.EndpointRecord, o StageOrder) error
}

// The times of orders.
const (
	// settleTime passes between the log's word that an endpoint is to change
	// and the order, so that entries send it nothing any more.
	settleTime = 500 * time.Millisecond
	// orderPause is the wait between two tries of an order.
	orderPause = 1500 * time.Millisecond
	// assignFor bounds a change; an endpoint that has not shown its new stage
	// by then goes back to work as it is.
	assignFor = 40 * time.Second
	// leaseMargin is added to the lease of a holder of orders: its last order
	// may be on its way when the lease ends.
	leaseMargin = 700 * time.Millisecond
)

// stages changes the stages of model endpoints. Only the leader acts, with its
// term as fencing token, and only once a lease has passed since it began to
// lead: endpoints that don't check tokens would else get orders of two holders
// in turn.
type stages struct {
	coordinator *Coordinator
	planners    map[string]*staging.Planner // by service
	began       map[string]time.Time        // when a change was first seen, by endpoint
	tried       map[string]time.Time        // when an order was last tried
	term        uint64
	termSince   time.Time
}

func newStages(c *Coordinator) *stages {
	s := &stages{coordinator: c}
	s.reset(0, time.Time{})
	return s
}

func (s *stages) reset(term uint64, now time.Time) {
	s.term, s.termSince = term, now
	s.planners = map[string]*staging.Planner{}
	s.began = map[string]time.Time{}
	s.tried = map[string]time.Time{}
}

// step is called by the leader at each look.
func (s *stages) step(ctx context.Context) {
	now := time.Now()
	status := s.coordinator.options.Group.Status()
	if status.Term != s.term {
		s.reset(status.Term, now)
	}
	if s.coordinator.options.Orders == nil || now.Sub(s.termSince) < s.coordinator.options.OrderLease+leaseMargin {
		return
	}
	for service, records := range s.services() {
		s.plan(ctx, now, service, records)
		s.carryOut(ctx, now, records)
	}
}

func (s *stages) services() map[string][]*pb.EndpointRecord {
	endpoints, _ := s.coordinator.options.Machine.Records()
	list := map[string][]*pb.EndpointRecord{}
	for _, e := range endpoints {
		if e.Stage != pb.Stage_STAGE_UNSPECIFIED && e.State == pb.EndpointState_ENDPOINT_STATE_READY {
			list[e.Service] = append(list[e.Service], e)
		}
	}
	return list
}

func (s *stages) plan(ctx context.Context, now time.Time, service string, records []*pb.EndpointRecord) {
	planner := s.planners[service]
	if planner == nil {
		planner = &staging.Planner{}
		s.planners[service] = planner
	}
	servers := make([]staging.Server, 0, len(records))
	for _, e := range records {
		servers = append(servers, staging.Server{
			ID: e.Id, Stage: e.Stage, Ready: true, Assigned: e.Assigned, Registered: e.Registered,
		})
	}
	if change, ok := planner.Step(now, servers); ok {
		s.assign(ctx, change.ID, change.Stage)
	}
}

// assign has all entries know that an endpoint is to change; an unspecified
// stage puts it back to work.
func (s *stages) assign(ctx context.Context, id string, stage pb.Stage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	assign := &pb.AssignStage{Id: id, Stage: stage}
	err := s.coordinator.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_AssignStage{AssignStage: assign}})
	s.coordinator.options.Part.Info("Stage assigned.", "endpoint", id, "stage", stage, "term", s.term, "err", err)
}

// carryOut gives the orders for the endpoints that are to change.
func (s *stages) carryOut(ctx context.Context, now time.Time, records []*pb.EndpointRecord) {
	for _, e := range records {
		if e.Assigned == pb.Stage_STAGE_UNSPECIFIED {
			delete(s.began, e.Id)
			continue
		}
		if s.began[e.Id].IsZero() {
			s.began[e.Id] = now
		}
		switch {
		case now.Sub(s.began[e.Id]) > assignFor:
			s.assign(ctx, e.Id, pb.Stage_STAGE_UNSPECIFIED)
		case now.Sub(s.began[e.Id]) < settleTime || now.Sub(s.tried[e.Id]) < orderPause:
		default:
			s.tried[e.Id] = now
			if err := s.order(ctx, e); err != nil {
				s.coordinator.options.Part.Info("Order was not given.", "endpoint", e.Id, "stage", e.Assigned, "err", err)
			}
		}
	}
}

// order asks the endpoint how it stands, and gives the order if it is still
// due. The lease is looked at last: a leader that was frozen must not send.
func (s *stages) order(ctx context.Context, e *pb.EndpointRecord) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := s.coordinator.options.Orders.Status(ctx, e)
	if err != nil {
		return err
	}
	if e.Born != 0 && status.Born != e.Born {
		return nil // another incarnation, whose heartbeat is on its way
	}
	if status.Busy || status.Stage == e.Assigned {
		return nil // its heartbeat will say so
	}
	if err := s.coordinator.options.Group.ReadBarrier(ctx); err != nil {
		return err
	}
	if s.coordinator.options.Group.Status().Term != s.term {
		return trace.CompareFailed("another term has begun")
	}
	order := StageOrder{Stage: e.Assigned, Holder: s.coordinator.options.Self.InstanceId, Token: s.term, Accepted: status.Accepted}
	err = s.coordinator.options.Orders.ChangeStage(ctx, e, order)
	s.coordinator.metrics.orders.WithLabelValues(resultOf(err)).Inc()
	s.coordinator.options.Part.Info("Order was given.", "endpoint", e.Id, "stage", e.Assigned, "token", s.term,
		"accepted_before", status.Accepted, "err", err)
	return nil
}
