package provision

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// The bounds of operators' orders.
const (
	maxJobs     = 256
	jobWait     = 10 * time.Second // of one request for its end
	longestJob  = 3 * time.Hour    // its wait at the weight store included
	operatorJob = "operator/"
)

// job is one operator's order; result is set before ended is closed.
type job struct {
	change Change
	ended  chan struct{}
	result Result
}

// jobs are the newest operators' orders of this process.
type jobs struct {
	mu       sync.Mutex
	byID     map[string]*job
	sequence []string
}

func newJobs() *jobs { return &jobs{byID: make(map[string]*job)} }

// begin gives the job of an ID; fresh tells that the caller must run it.
func (j *jobs) begin(id string, c Change) (one *job, fresh bool, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if one, ok := j.byID[id]; ok {
		if one.change.Engine.Target.ID != c.Engine.Target.ID || one.change.Orders[0] != c.Orders[0] {
			return nil, false, trace.BadParameter("order %s was another one", id)
		}
		return one, false, nil
	}
	if len(j.sequence) >= maxJobs && !j.dropEnded() {
		return nil, false, trace.LimitExceeded("%d orders are under way", maxJobs)
	}
	one = &job{change: c, ended: make(chan struct{})}
	j.byID[id] = one
	j.sequence = append(j.sequence, id)
	return one, true, nil
}

func (j *jobs) dropEnded() bool {
	for n, id := range j.sequence {
		select {
		case <-j.byID[id].ended:
			delete(j.byID, id)
			j.sequence = append(j.sequence[:n], j.sequence[n+1:]...)
			return true
		default:
		}
	}
	return false
}

// Order carries out an operator's order at an endpoint that digest describes,
// and waits for its end up to jobWait. Sent again it goes on waiting. by names
// the operator.
func (s *Service) Order(ctx context.Context, in *pb.OrderEndpointRequest, digest *pb.EndpointDigest, by string) (*pb.OrderEndpointReply, error) {
	c, err := changeOf(in, digest)
	if err != nil {
		return nil, err
	}
	id := operatorJob + in.GetOrderId()
	one, fresh, err := s.jobs.begin(id, c)
	if err != nil {
		return nil, err
	}
	if fresh {
		s.carrier.note("by operator "+by, id, c)
		go s.runJob(id, one)
	}
	ctx, cancel := context.WithTimeout(ctx, jobWait)
	defer cancel()
	select {
	case <-one.ended:
		return &pb.OrderEndpointReply{Ended: true, Outcome: string(one.result)}, nil
	case <-ctx.Done():
		return &pb.OrderEndpointReply{}, nil
	}
}

// runJob goes on after its request has ended, for at most longestJob. An
// operator may take a model's last endpoint.
func (s *Service) runJob(id string, one *job) {
	ctx, cancel := context.WithTimeout(context.Background(), longestJob)
	defer cancel()
	one.result = s.carrier.run(ctx, id, one.change, s.provision().Drain, func(Change) bool { return true })
	s.metrics.ended.WithLabelValues(string(one.result)).Inc()
	s.carrier.note(string(one.result), id, one.change)
	close(one.ended)
}

const maxOrderID = 96 // bytes

// changeOf checks an operator's order.
func changeOf(in *pb.OrderEndpointRequest, digest *pb.EndpointDigest) (Change, error) {
	if in.GetOrderId() == "" || len(in.GetOrderId()) > maxOrderID {
		return Change{}, trace.BadParameter("order_id is missing or longer than %d bytes", maxOrderID)
	}
	e, ok := EngineOf(digest)
	if !ok {
		return Change{}, trace.BadParameter("endpoint %s is not an engine", digest.GetId())
	}
	order := schedule.PlanOrder{Endpoint: e.Target.ID, Kind: engineapi.OrderKind(in.GetKind())}
	switch order.Kind {
	case engineapi.OrderLoad, engineapi.OrderUnload:
		if order.Model, ok = ParseModel(in.GetModel()); !ok {
			return Change{}, trace.BadParameter("write the model as model@version or model@version/adapter")
		}
	case engineapi.OrderChangeRole:
		order.Role = fleet.EndpointRole(in.GetRole())
		if !modelRole(order.Role) {
			return Change{}, trace.BadParameter("role must be prefill, decode or both")
		}
	default:
		return Change{}, trace.BadParameter("kind must be %s", strings.Join([]string{
			string(engineapi.OrderLoad), string(engineapi.OrderUnload), string(engineapi.OrderChangeRole),
		}, ", "))
	}
	return Change{Engine: e, Orders: []schedule.PlanOrder{order}}, nil
}

func modelRole(r fleet.EndpointRole) bool {
	return r == fleet.RolePrefill || r == fleet.RoleDecode || r == fleet.RoleBoth
}
