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

// world is one endpoint, a log, and issuers.
type world struct {
	mu      sync.Mutex
	machine *control.Machine
	index   uint64
	state   engineapi.Announcement
	taken   []string // orders in the order that the endpoint took them
	// atEndpoint is called when an order arrives, before it is taken.
	atEndpoint func(o engineapi.Order)
	// afterOrder is called when an order was taken, before it is answered.
	afterOrder func(o engineapi.Order)
	lose       int // answers to lose
}

func newWorld(checks bool) *world {
	w := &world{
		machine: control.NewMachine(control.MachineOptions{Check: settings.CheckChange, Build: settings.Build}),
		state:   engineapi.Announcement{ID: "x", Role: fleet.RolePrefill, ChecksTokens: checks},
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

// older starts issuer a's order "old", which is on its way until hold returns.
func (w *world) older(t *testing.T, hold func()) <-chan Outcome {
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
		Fixed:    &membership.State{Tree: settings.EmptyTree()},
		Instance: fleet.Instance{ID: id, Incarnation: 1},
	}})
}

// settings applies a fleet subtree with these lines more.
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
	if e.lose > 0 {
		e.lose--
		return engineapi.OrderReply{}, &engine.Error{Target: t, Err: errors.New("connection reset")}
	}
	return engineapi.OrderReply{Done: true, LastToken: e.state.LastToken}, nil
}

func (e endpoint) take(t engine.Target, o engineapi.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.ChecksTokens && o.Token < e.state.LastToken {
		return &engine.Error{Target: t, Code: engineapi.CodeOldToken}
	}
	e.taken = append(e.taken, o.ID)
	e.state.LastToken = o.Token
	e.state.Role = o.Role
	return nil
}

func role(id string, r fleet.EndpointRole) Want {
	return Want{ID: id, Kind: engineapi.OrderChangeRole, Role: r}
}

var target = engine.Target{ID: "x"}

func both(t *testing.T, f func(t *testing.T, w *world)) {
	for name, checks := range map[string]bool{"checks tokens": true, "ignores tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, newWorld(checks)) })
		})
	}
}

func run(t *testing.T, i *Issuer, w Want) Outcome {
	outcome, err := i.Run(context.Background(), target, w)
	assert.Check(t, err == nil, "%v", err)
	return outcome
}

func TestOrderIsCarriedOut(t *testing.T) {
	both(t, func(t *testing.T, w *world) {
		assert.Equal(t, run(t, w.issuer("a"), role("o1", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	both(t, func(t *testing.T, w *world) {
		w.lose = 1
		assert.Equal(t, run(t, w.issuer("a"), role("o1", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, len(w.taken), 1)
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true)
		assert.Equal(t, run(t, w.issuer("gone"), role("o1", fleet.RoleDecode)), OutcomeRefused)
		assert.Equal(t, run(t, w.issuer("a"), role("o2", "nothing")), OutcomeRefused)
		w.afterOrder = func(engineapi.Order) { w.setRole(fleet.RolePlain) } // undone each time
		assert.Equal(t, run(t, w.issuer("a"), role("o3", fleet.RoleDecode)), OutcomeFailed)
		assert.Equal(t, len(w.taken), maxIssues)
	})
}

func (w *world) setRole(r fleet.EndpointRole) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Role = r
}

// Issuer a is frozen right before its send; b issues a newer order, which is
// done; a wakes and its order reaches the endpoint. One that checks tokens
// refuses it. One that ignores them obeys, and a, which finds out afterwards
// that it was superseded, issues b's order again.
func TestFrozenIssuerWakesAfterANewerOrder(t *testing.T) {
	both(t, func(t *testing.T, w *world) {
		frozen := make(chan struct{})
		old := w.older(t, func() { <-frozen })
		synctest.Wait()
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		close(frozen)
		assert.Equal(t, <-old, OutcomeSuperseded)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
		assert.Equal(t, len(w.taken) == 1, w.state.ChecksTokens)
	})
}

// An older order slips in between the newer one and the reading back. The
// newer issuer sees that its order doesn't show and issues it again.
func TestOrderSlipsInBeforeTheReadBack(t *testing.T) {
	both(t, func(t *testing.T, w *world) {
		slipped := false
		w.afterOrder = func(engineapi.Order) {
			if !slipped {
				slipped = true
				w.setRole(fleet.RoleBoth)
			}
		}
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
		assert.DeepEqual(t, w.taken, []string{"new", "new#2"})
	})
}

// Issuer a is still at work on a long load when b's newer order comes. At an
// endpoint that ignores tokens, b waits until a must have ended, so that a's
// late end doesn't undo b's order.
func TestNewerOrderWaitsOutTheOlderOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false)
		old := w.older(t, func() { time.Sleep(shortestLongest - time.Second) })
		time.Sleep(time.Second)
		assert.Equal(t, run(t, w.issuer("b"), role("new", fleet.RoleDecode)), OutcomeDone)
		assert.DeepEqual(t, w.taken, []string{"old", "new"})
		assert.Equal(t, <-old, OutcomeSuperseded)
		assert.Equal(t, w.state.Role, fleet.RoleDecode)
	})
}

// An issuer frozen between its confirmation and the check before the send
// doesn't send on the old confirmation: it asks again and is superseded.
func TestOldConfirmationIsNotUsed(t *testing.T) {
	p := NewProcess(role("o", fleet.RoleDecode), Bounds{Lease: time.Second, Longest: time.Minute}, time.Time{})
	now := time.Unix(100, 0)
	p.Looked(now, engineapi.Announcement{}, nil)
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
	for range maxTries {
		p.Looked(time.Time{}, engineapi.Announcement{}, errors.New("unreachable"))
	}
	assert.Equal(t, p.Outcome(), OutcomeFailed)
}
