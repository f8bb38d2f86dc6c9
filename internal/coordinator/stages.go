package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/staging"
)

// EndpointStatus is an endpoint's own report on its orders.
type EndpointStatus struct {
	Stage          pb.Stage
	Busy           bool   // an order is being carried out
	AcceptedOrders int64  // orders accepted in this incarnation
	Born           uint64 // start of this incarnation, Unix ms; 0 if not reported
}

// StageOrder asks an endpoint to change its stage.
type StageOrder struct {
	Stage          pb.Stage
	Holder         string // instance that sends the order
	Token          uint64 // fencing token: rises with each holder
	AcceptedBefore int64  // number of orders that the endpoint must have accepted before
}

// Orders sends orders to endpoints.
type Orders interface {
	Status(ctx context.Context, e *pb.EndpointRecord) (EndpointStatus, error)
	ChangeStage(ctx context.Context, e *pb.EndpointRecord, o StageOrder) error
}

// Delays and timeouts of orders.
const (
	// settleDelay is the time between the commit of an assignment and the order, so that
	// all entries have stopped sending to the endpoint.
	settleDelay = 500 * time.Millisecond
	// orderRetryDelay is the delay between attempts to send an order.
	orderRetryDelay = 1500 * time.Millisecond
	// assignmentTimeout bounds a change; an endpoint that has not reported its new stage
	// by then returns to service with its old one.
	assignmentTimeout = 40 * time.Second
	// leaseMargin is added to the lease of an order holder: its last order may still be
	// in transit when the lease ends.
	leaseMargin = 700 * time.Millisecond
)

// stageManager changes the stages of model endpoints. Only the leader acts, with its term
// as fencing token, and only once a lease has passed since its term began: endpoints that
// don't check tokens would otherwise follow orders of two holders in turn.
type stageManager struct {
	coordinator *Coordinator
	planners    map[string]*staging.Planner // by service
	assignedAt  map[string]time.Time        // when an assignment was first seen, by endpoint
	lastAttempt map[string]time.Time        // when an order was last attempted, by endpoint
	term        uint64
	termSince   time.Time
}

func newStageManager(c *Coordinator) *stageManager {
	s := &stageManager{coordinator: c}
	s.reset(0, time.Time{})
	return s
}

func (s *stageManager) reset(term uint64, now time.Time) {
	s.term, s.termSince = term, now
	s.planners = map[string]*staging.Planner{}
	s.assignedAt = map[string]time.Time{}
	s.lastAttempt = map[string]time.Time{}
}

// step plans and sends orders; the leader calls it at each run of runLeaderTasks.
func (s *stageManager) step(ctx context.Context) {
	now := time.Now()
	status := s.coordinator.options.Group.Status()
	if status.Term != s.term {
		s.reset(status.Term, now)
	}
	if s.coordinator.options.Orders == nil || now.Sub(s.termSince) < s.coordinator.options.OrderLease+leaseMargin {
		return
	}
	for service, records := range s.readyByService() {
		s.plan(ctx, now, service, records)
		s.sendOrders(ctx, now, records)
	}
}

func (s *stageManager) readyByService() map[string][]*pb.EndpointRecord {
	endpoints, _ := s.coordinator.options.Machine.Records()
	list := map[string][]*pb.EndpointRecord{}
	for _, e := range endpoints {
		if e.Stage != pb.Stage_STAGE_UNSPECIFIED && e.State == pb.EndpointState_ENDPOINT_STATE_READY {
			list[e.Service] = append(list[e.Service], e)
		}
	}
	return list
}

func (s *stageManager) plan(ctx context.Context, now time.Time, service string, records []*pb.EndpointRecord) {
	planner := s.planners[service]
	if planner == nil {
		planner = &staging.Planner{}
		s.planners[service] = planner
	}
	servers := make([]staging.Endpoint, 0, len(records))
	for _, e := range records {
		servers = append(servers, staging.Endpoint{
			ID: e.Id, Stage: e.Stage, Ready: true, Assigned: e.Assigned, Registered: e.Registered,
		})
	}
	if change, ok := planner.Step(now, servers); ok {
		s.assign(ctx, change.ID, change.Stage)
	}
}

// assign commits that an endpoint is to change its stage, so that all entries stop using
// it; the unspecified stage returns it to service.
func (s *stageManager) assign(ctx context.Context, id string, stage pb.Stage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	assign := &pb.AssignStage{Id: id, Stage: stage}
	err := s.coordinator.commit(ctx, &pb.CatalogCommand{Kind: &pb.CatalogCommand_AssignStage{AssignStage: assign}})
	s.coordinator.options.Part.Info("Stage assigned.", "endpoint", id, "stage", stage, "term", s.term, "err", err)
}

// sendOrders sends the orders that are due to the endpoints with an assignment, and
// cancels assignments that have timed out.
func (s *stageManager) sendOrders(ctx context.Context, now time.Time, records []*pb.EndpointRecord) {
	for _, e := range records {
		if e.Assigned == pb.Stage_STAGE_UNSPECIFIED {
			delete(s.assignedAt, e.Id)
			continue
		}
		if s.assignedAt[e.Id].IsZero() {
			s.assignedAt[e.Id] = now
		}
		switch {
		case now.Sub(s.assignedAt[e.Id]) > assignmentTimeout:
			s.assign(ctx, e.Id, pb.Stage_STAGE_UNSPECIFIED)
		case now.Sub(s.assignedAt[e.Id]) < settleDelay || now.Sub(s.lastAttempt[e.Id]) < orderRetryDelay:
		default:
			s.lastAttempt[e.Id] = now
			if err := s.sendOrder(ctx, e); err != nil {
				s.coordinator.options.Part.Info("Sending a stage order failed.", "endpoint", e.Id, "stage", e.Assigned, "err", err)
			}
		}
	}
}

// sendOrder asks the endpoint for its status and sends the order if it is still needed.
// Leadership and term are checked last: a leader that was suspended must not send.
func (s *stageManager) sendOrder(ctx context.Context, e *pb.EndpointRecord) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := s.coordinator.options.Orders.Status(ctx, e)
	if err != nil {
		return err
	}
	if e.Born != 0 && status.Born != e.Born {
		return nil // another incarnation, whose heartbeat has not arrived yet
	}
	if status.Busy || status.Stage == e.Assigned {
		return nil // its next heartbeat reports it
	}
	if err := s.coordinator.options.Group.ReadBarrier(ctx); err != nil {
		return err
	}
	if s.coordinator.options.Group.Status().Term != s.term {
		return trace.CompareFailed("another term has begun")
	}
	order := StageOrder{Stage: e.Assigned, Holder: s.coordinator.options.Self.InstanceId, Token: s.term, AcceptedBefore: status.AcceptedOrders}
	err = s.coordinator.options.Orders.ChangeStage(ctx, e, order)
	s.coordinator.metrics.orders.WithLabelValues(resultOf(err)).Inc()
	s.coordinator.options.Part.Info("Stage order sent.", "endpoint", e.Id, "stage", e.Assigned, "token", s.term,
		"accepted_before", status.AcceptedOrders, "err", err)
	return nil
}
