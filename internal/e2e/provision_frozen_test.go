package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// delayingProxy is the way to an endpoint on which old orders get stuck.
type delayingProxy struct {
	server    *httptest.Server
	held      chan struct{} // closed when an old order is on the road
	release   chan struct{}
	delivered chan int // the endpoint's answer to an old order, HTTP status

	mu       sync.Mutex
	endpoint http.Handler
	onOrder  func() // called when an order arrives
}

func newDelayingProxy(t *testing.T) *delayingProxy {
	t.Helper()
	r := &delayingProxy{held: make(chan struct{}), release: make(chan struct{}), delivered: make(chan int, 1)}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.server.CloseClientConnections)
	return r
}

func (r *delayingProxy) address() string { return strings.TrimPrefix(r.server.URL, "http://") }

// ServeHTTP passes calls on to the endpoint, old orders after their release,
// whether the sender still waits or not: the bytes have left it.
func (r *delayingProxy) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	end, onOrder := r.endpoint, r.onOrder
	r.mu.Unlock()
	if onOrder != nil && strings.HasSuffix(q.URL.Path, "/orders") {
		onOrder()
	}
	body, err := io.ReadAll(q.Body)
	if err != nil || end == nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	if !bytes.Contains(body, []byte(`"operator/old`)) {
		end.ServeHTTP(w, q)
		return
	}
	close(r.held)
	<-r.release
	answer := httptest.NewRecorder()
	end.ServeHTTP(answer, q.WithContext(context.WithoutCancel(q.Context())))
	r.delivered <- answer.Code
}

func (e *endpointSet) addBehindProxy(t *testing.T, r *delayingProxy, id string, checks bool) *emulatedEndpoint {
	t.Helper()
	m := e.add(t, id, "a", fleet.RoleDecode, func(o *standin.Options) {
		o.ChecksTokens = checks
		o.Advertise = r.address()
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoint = m.Handler()
	return m
}

// sendOrder gives an operator's order at one instance and waits for its end.
func (f *testFleet) sendOrder(t *testing.T, at *instance, id, endpoint, role string) (outcome string) {
	t.Helper()
	client := f.operatorClient(t, operatorKey, at)
	eventually(t, 90*time.Second, func() error {
		reply, err := client.Order(callContext(t), &pb.OrderEndpointRequest{OrderId: id, EndpointId: endpoint, Kind: "change-role", Role: role})
		if err == nil && !reply.GetEnded() {
			err = fmt.Errorf("order %s is under way", id)
		}
		outcome = reply.GetOutcome()
		return err
	})
	return outcome
}

// A daemon has given orders to two endpoints and is frozen while they are on
// the way, for longer than its lease. Another daemon gives newer orders, which
// are done. Then the frozen one wakes and its old orders arrive. The endpoint
// that checks fencing tokens refuses its own; the other one obeys, and must be
// given the newer order again. The old one never wins.
func TestFrozenDaemonWakesWithOrdersInHand(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	e := &endpointSet{fleet: f}
	roads := map[string]*delayingProxy{"checks": newDelayingProxy(t), "ignores": newDelayingProxy(t)}
	ends := map[string]*emulatedEndpoint{}
	for id, road := range roads {
		ends[id] = e.addBehindProxy(t, road, id, id == "checks")
	}
	f.awaitEndpoints(t, "checks", "ignores")
	rest := f.others(f.awaitLeader(t, f.instances...))
	frozen, other := rest[0], rest[1]
	for id, road := range roads {
		go func() {
			_, _ = f.operatorClient(t, operatorKey, frozen).Order(t.Context(), &pb.OrderEndpointRequest{
				OrderId: "old-" + id, EndpointId: id, Kind: "change-role", Role: "prefill",
			})
		}()
		<-road.held
	}
	frozen.freeze(t)
	f.awaitRemoved(t, other, frozen)
	for id := range roads {
		assert.Equal(t, f.sendOrder(t, other, "new-"+id, id, "both"), "done", id)
		assert.Equal(t, ends[id].Announcement().Role, fleet.RoleBoth)
	}
	frozen.resume(t)
	for _, road := range roads {
		close(road.release)
	}
	assert.Equal(t, <-roads["checks"].delivered, http.StatusConflict)
	assert.Equal(t, <-roads["ignores"].delivered, http.StatusOK)
	for id, end := range ends {
		eventually(t, 60*time.Second, func() error {
			if role := end.Announcement().Role; role != fleet.RoleBoth {
				return fmt.Errorf("%s has role %s", id, role)
			}
			return nil
		})
	}
	assert.Equal(t, ends["checks"].fetchAudit(t).Orders, 1)
	assert.Equal(t, ends["ignores"].fetchAudit(t).Orders, 3) // the newer, the old, the newer again
}

// awaitRemoved waits until an instance is out of another's view.
func (f *testFleet) awaitRemoved(t *testing.T, at, gone *instance) {
	t.Helper()
	eventually(t, callTimeout, func() error {
		status, err := f.operatorClient(t, operatorKey, at).Status(callContext(t), nil)
		if err != nil {
			return err
		}
		for _, i := range status.GetInstances() {
			if i.GetInstance().GetId() == gone.id {
				return fmt.Errorf("%s is still in the view", gone.id)
			}
		}
		return nil
	})
}

// Callers' streams run on an engine that is told to drop their model. The order
// must wait until they have ended whole, and no new one may begin meanwhile:
// else streams break off in the middle.
func TestUnloadWaitsForRunningStreams(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	e := &endpointSet{fleet: f}
	e.add(t, "p", "a", fleet.RolePrefill)
	road := newDelayingProxy(t)
	decode := e.addBehindProxy(t, road, "d", true)
	e.awaitServing(t)
	held := make(chan int, 8)
	road.mu.Lock()
	road.onOrder = func() { held <- decode.fetchAudit(t).Held }
	road.mu.Unlock()

	streams := make(chan answer, 3)
	for _, i := range f.instances {
		go func() {
			a, err := sendCompletion(callContext(t), i, request{prompt: "long " + i.id, maxTokens: 1500, stream: true})
			assert.Check(t, err)
			streams <- a
		}()
	}
	awaitHeld(t, 3, decode)
	client := f.operatorClient(t, operatorKey, f.instances[0])
	reply, err := client.Order(callContext(t), &pb.OrderEndpointRequest{OrderId: "u", EndpointId: "d", Kind: "unload", Model: "m@1"})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetOutcome(), "done")
	assert.Equal(t, <-held, 0)
	for range f.instances {
		a := <-streams
		assert.Assert(t, a.isComplete(), "%+v", a.apiError)
	}
	assert.Equal(t, len(decode.Announcement().Models), 0)
}
