package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// world is a test environment: one endpoint, the replicated log, and issuers.
type world struct {
	mu      sync.Mutex
	machine *control.Machine
	index   uint64
	state   engineapi.Announcement
	taken   []string // IDs of the orders that the endpoint executed, in sequence
	// atEndpoint is called when an order arrives, before it is executed.
	atEndpoint func(o engineapi.Order)
	// afterOrder is called when an order was executed, before it is answered.
	afterOrder    func(o engineapi.Order)
	answersToLose int // number of answers that get lost
}

func newWorld(checks bool) *world {
	w := &world{
		machine: control.NewMachine(control.MachineOptions{Check: settings.CheckChange, Build: settings.Build}),
		state:   engineapi.Announcement{ID: "x", Role: fleet.RolePrefill, ChecksFencingTokens: checks},
	}
	for _, id := range []string{"a", "b"} {
		w.apply(&pb.Command{Body: &pb.Command_JoinInstance{JoinInstance: &pb.JoinInstance{
			Instance: &pb.InstanceRecord{Id: id, Incarnation: 1, AvailabilityZone: "howrah"},
		}}})
	}
	return w
}

func (w *world) apply(c *pb.Command) *pb.CommandResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	c.UnixMs = time.Now().UnixMilli()
	encoded, _ := proto.Marshal(c)
	var result pb.CommandResult
	_ = proto.Unmarshal(w.machine.Apply(w.index, encoded), &result)
	return &result
}

// startOlder starts issuer a's order "old", which reaches the endpoint when hold
// returns.
func (w *world) startOlder(t *testing.T, hold func()) <-chan Outcome {
	w.atEndpoint = func(o engineapi.Order) {
		if o.ID == "old" {
			hold()
		}
	}
	old := make(chan Outcome)
	go func() { old <- run(t, w.issuer("a"), role("old", fleet.RoleBoth)) }()
	return old
}

func (w *world) issuer(id fleet.InstanceID) *Issuer { return w.issuerAt(id, endpoint{w}) }

func (w *world) issuerAt(id fleet.InstanceID, e Endpoints) *Issuer {
	return NewIssuer(Options{Control: w, Endpoints: e, Source: &membership.Static{
		FixedState: &membership.State{Tree: settings.EmptyTree()},
		Instance:   fleet.Instance{ID: id, Incarnation: 1},
	}})
}

// settings applies a fleet subtree with additional lines.
func (w *world) settings(t *testing.T, lines string) {
	yaml := fmt.Sprintf("availability_zones: [{name: howrah, region: r}]\noperators: [{name: o, key_hash: %q, subtrees: [\"*\"]}]\n%s",
		keyhash.Of("key"), lines)
	r := w.apply(&pb.Command{Body: &pb.Command_ChangeSubtree{ChangeSubtree: &pb.ChangeSubtree{
		Name: settings.FleetSubtree, ChangeId: "c", Author: "o", Yaml: []byte(yaml),
	}}})
	assert.Equal(t, r.GetChange().GetStatus(), pb.ChangeStatus_CHANGE_STATUS_ACCEPTED, "%v", r)
}

func (w *world) Order(_ context.Context, o *pb.IssueOrder) (*pb.OrderReply, error) {
	r := w.apply(&pb.Command{Body: &pb.Command_IssueOrder{IssueOrder: o}})
	return &pb.OrderReply{Record: r.Order, Newest: r.NewestOrder, Refusal: r.Refusal}, nil
}

type endpoint struct{ *world }

func (e endpoint) State(context.Context, engine.Target) (engineapi.Announcement, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e endpoint) Order(_ context.Context, t engine.Target, o engineapi.Order) (engineapi.OrderReply, error) {
	if e.atEndpoint != nil {
		e.atEndpoint(o)
	}
	if err := e.take(t, o); err != nil {
		return engineapi.OrderReply{}, err
	}
	if e.afterOrder != nil {
		e.afterOrder(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answersToLose > 0 {
		e.answersToLose--
		return engineapi.OrderReply{}, &engine.Error{Target: t, Err: errors.New("connection reset")}
	}
	return engineapi.OrderReply{Done: true, LastFencingToken: e.state.LastFencingToken}, nil
}

func (e endpoint) take(t engine.Target, o engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.ChecksFencingTokens && o.FencingToken < e.state.LastFencingToken {
		return &engine.Error{Target: t, Code: engineapi.CodeOldToken}
	}
	e.taken = append(e.taken, o.ID)
	e.state.LastFencingToken = o.FencingToken
	e.state.Role = o.Role
	return nil
}

func role(id string, r fleet.EndpointRole) Spec {
	return Spec{ID: id, Kind: engineapi.OrderChangeRole, Role: r}
}

var target = engine.Target{ID: "x"}

// forBothEndpoints runs f with an endpoint that checks tokens and with one that
// ignores them.
func forBothEndpoints(t *testing.T, f func(t *testing.T, w *world)) {
	for name, checks := range map[string]bool{"checks tokens": true, "ignores tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, newWorld(checks)) })
		})
	}
}

func run(t *testing.T, i *Issuer, w Spec) Outcome {
	outcome, err := i.Run(context.Background(), target, w)
	assert.Check(t, err == nil, "%v", err)
	return outcome
}

func TestOrderIsCarriedOut(t *testing.T) {
	forBothEndpoints(t, func(t *testing.T, w *world) {
		assert.Equal(t, run(t, w.issuer("a"), role("o1", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	forBothEndpoints(t, func(t *testing.T, w *world) {
		w.answersToLose = 1
		assert.Equal(t, run(t, w.issuer("a"), role("o1", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, len(w.taken), 1)
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true)
		assert.Equal(t, run(t, w.issuer("gone"), role("o1", fleet.RoleDecode)), OutcomeRefused)
		assert.Equal(t, run(t, w.issuer("a"), role("o2", "nothing")), OutcomeRefused)
		w.afterOrder = func(engineapi.Order) { w.setRole(fleet.RolePlain) } // overwritten each time
		assert.Equal(t, run(t, w.issuer("a"), role("o3", fleet.RoleDecode)), OutcomeFailed)
		assert.Equal(t, len(w.taken), maxTokens)
	})
}

func (w *world) setRole(r fleet.EndpointRole) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Role = r
}

// Issuer a freezes directly before its send, b issues and completes a newer
// order, then a resumes and its order reaches the endpoint. An endpoint that
// checks tokens refuses it. One that ignores them executes it, and a, which then
// learns that it was superseded, reissues b's order.
func TestFrozenIssuerResumesAfterANewerOrder(t *testing.T) {
	forBothEndpoints(t, func(t *testing.T, w *world) {
		frozen := make(chan struct{})
		old := w.startOlder(t, func() { <-frozen })
		synctest.Wait()
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		close(frozen)
		assert.Equal(t, <-old, OutcomeSuperseded)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
		assert.Equal(t, len(w.taken) == 1, w.state.ChecksFencingTokens)
	})
}

// An older order is executed between the newer one and its read-back. The newer
// issuer sees that the state doesn't show its order and reissues it.
func TestOverwrittenOrderIsReissued(t *testing.T) {
	forBothEndpoints(t, func(t *testing.T, w *world) {
		overwritten := false
		w.afterOrder = func(engineapi.Order) {
			if !overwritten {
				overwritten = true
				w.setRole(fleet.RoleBoth)
			}
		}
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
		assert.DeepEqual(t, w.taken, []string{"new", "new#2"})
	})
}

// Issuer a is still busy with a long order when b's newer order comes. At an
// endpoint that ignores tokens, b waits until a's order must have ended, so that
// it can't overwrite b's.
func TestNewerOrderWaitsOutTheOlderOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false)
		old := w.startOlder(t, func() { time.Sleep(maxDurationFloor - time.Second) })
		time.Sleep(time.Second)
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		assert.DeepEqual(t, w.taken, []string{"old", "new"})
		assert.Equal(t, <-old, OutcomeSuperseded)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
	})
}

// An issuer that freezes between its confirmation and the check before the send
// doesn't use the expired confirmation: it confirms again and is superseded.
func TestOldConfirmationIsNotUsed(t *testing.T) {
	p := NewProcess(role("o", fleet.RoleDecode), Bounds{Lease: time.Second, MaxDuration: time.Minute}, time.Time{})
	now := time.Unix(100, 0)
	p.StateRead(now, engineapi.Announcement{}, nil)
	p.Confirmed(now, now, &pb.OrderReply{Record: &pb.OrderRecord{Token: 5}, Newest: &pb.OrderRecord{Token: 5}}, nil)
	step, _ := p.Next()
	assert.Equal(t, step, StepSend)
	assert.Assert(t, p.MaySend(now.Add(time.Second-1)))
	later := now.Add(time.Second)
	assert.Assert(t, !p.MaySend(later))
	p.NotSent(later)
	p.Confirmed(later, later, &pb.OrderReply{Record: &pb.OrderRecord{Token: 5}, Newest: &pb.OrderRecord{Token: 9}}, nil)
	assert.Equal(t, p.Outcome(), OutcomeSuperseded)
}

func TestUnreadableEndpointFails(t *testing.T) {
	p := NewProcess(role("o", fleet.RoleDecode), Bounds{Lease: time.Second}, time.Time{})
	for range maxFailedCalls {
		p.StateRead(time.Time{}, engineapi.Announcement{}, errors.New("unreachable"))
	}
	assert.Equal(t, p.Outcome(), OutcomeFailed)
}
