package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// maxNewWorkDelay is the guaranteed time after a leave or a lost contact from which
// on an endpoint gets no new work.
const maxNewWorkDelay = 3 * time.Second

// loadAfterLeave is how long load goes on after a leave.
const loadAfterLeave = 6 * time.Second

// workRecorder is a listener in front of an endpoint that records when new work
// arrives.
type workRecorder struct {
	server   *httptest.Server
	mu       sync.Mutex
	target   http.Handler
	lastWork time.Time
	count    int
}

func newWorkRecorder(t *testing.T) *workRecorder {
	f := &workRecorder{}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.CloseClientConnections)
	return f
}

func (f *workRecorder) address() string { return f.server.Listener.Addr().String() }

func (f *workRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	behind := f.target
	if isNewWork(r.URL.Path) {
		f.lastWork = time.Now()
		f.count++
	}
	f.mu.Unlock()
	behind.ServeHTTP(w, r)
}

func isNewWork(path string) bool {
	return path == "/v1/prefill" || path == "/v1/kv/import" || strings.HasPrefix(path, "/call/")
}

func (f *workRecorder) lastWorkAndCount() (newest time.Time, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastWork, f.count
}

// startLeaveFleet starts a fleet with two endpoints of each kind and returns the
// first of each with its recorder. The channel receives the address of the entry
// that confirms the decode engine's leave.
func startLeaveFleet(t *testing.T) (*testFleet, []*emulatedEndpoint, []*workRecorder, <-chan string) {
	f := startFleet(t, fleetPlan{zones: []string{"a", "a", "a", "a"}, control: 3})
	e := &endpointSet{fleet: f}
	confirmedBy := make(chan string, 1)
	var leaving []*emulatedEndpoint
	var recorders []*workRecorder
	for _, role := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		recorder := newWorkRecorder(t)
		m := e.add(t, "leaves-"+string(role), "a", role, func(o *standin.Options) {
			o.Advertise = recorder.address()
			if role == fleet.RoleDecode {
				o.Transport = leaveRecorder{&http.Transport{}, confirmedBy}
			}
		})
		recorder.mu.Lock()
		recorder.target = m.Handler()
		recorder.mu.Unlock()
		leaving = append(leaving, m)
		recorders = append(recorders, recorder)
		e.add(t, "stays-"+string(role), "a", role)
	}
	e.awaitServing(t)
	e.awaitService(t)
	return f, leaving, recorders, confirmedBy
}

// sendBothKinds sends an entry completions and service calls in turn until stop is
// closed.
func sendBothKinds(t *testing.T, i *instance, n int, stop <-chan struct{}) {
	repeatUntilClosed(stop, func(k int) {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		_, _ = sendCompletion(ctx, i, request{prompt: fmt.Sprintf("leave %d %d [[tokens=5]]", n, k), maxTokens: 5, stream: true})
		_, _ = callService(ctx, i, "/again", "", fmt.Sprintf("lookup %d %d", n, k))
		cancel()
	})
}

// An endpoint of each kind announces its leave, or stops responding. The entry that
// received the leave dies, or another entry is cut off from the rest. After 3 s no
// entry may send these endpoints new work.
func TestLeavingOrSilentEndpointGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name string
		with func(t *testing.T, f *testFleet, leaving []*emulatedEndpoint, confirmedBy <-chan string)
	}{
		{"the entry that heard it dies", func(t *testing.T, f *testFleet, leaving []*emulatedEndpoint, confirmedBy <-chan string) {
			announceLeaves(t, leaving)
			f.instanceByEndpointsAddress(<-confirmedBy).kill(t)
		}},
		{"an entry is cut off from the rest", func(t *testing.T, f *testFleet, leaving []*emulatedEndpoint, confirmedBy <-chan string) {
			cutOff := f.instances[3]
			if leaving[1].HomeAddress() == cutOff.address(endpointsPort) {
				cutOff = f.instances[2]
			}
			f.isolate(cutOff, true)
			announceLeaves(t, leaving)
		}},
		{"silent", func(t *testing.T, _ *testFleet, leaving []*emulatedEndpoint, _ <-chan string) {
			for _, m := range leaving {
				m.SetFaults(standin.Faults{Freeze: true})
			}
		}},
		{"silent and an entry is cut off", func(t *testing.T, f *testFleet, leaving []*emulatedEndpoint, confirmedBy <-chan string) {
			f.isolate(f.instances[3], true)
			for _, m := range leaving {
				m.SetFaults(standin.Faults{Freeze: true})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, leaving, recorders, confirmedBy := startLeaveFleet(t)
			stop := make(chan struct{})
			var load sync.WaitGroup
			for n := range 8 {
				load.Go(func() { sendBothKinds(t, f.instances[n%4], n, stop) })
			}
			for _, recorder := range recorders {
				eventually(t, callTimeout, func() error { return recorder.checkCount(10) })
			}
			left := time.Now()
			c.with(t, f, leaving, confirmedBy)
			<-time.After(loadAfterLeave)
			close(stop)
			load.Wait()
			for n, recorder := range recorders {
				newest, _ := recorder.lastWorkAndCount()
				t.Logf("%s: last new work %s after", leaving[n].endpointID(), newest.Sub(left).Round(time.Millisecond))
				assert.Check(t, newest.Sub(left) < maxNewWorkDelay, "%s got new work %s after", leaving[n].endpointID(), newest.Sub(left))
			}
		})
	}
}

func (f *workRecorder) checkCount(count int) error {
	if _, seen := f.lastWorkAndCount(); seen < count {
		return fmt.Errorf("%d of %d pieces of work seen", seen, count)
	}
	return nil
}

// announceLeaves lets the endpoints leave in the background.
func announceLeaves(t *testing.T, leaving []*emulatedEndpoint) {
	for _, m := range leaving {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		t.Cleanup(cancel)
		go func() { _ = m.Leave(ctx) }() // ends when the endpoint holds nothing
	}
}

// leaveRecorder forwards an endpoint's calls and reports which entry confirmed its
// leave.
type leaveRecorder struct {
	http.RoundTripper
	confirmedBy chan string
}

func (w leaveRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := w.RoundTripper.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(r.URL.Path, "/leave") {
		w.confirmedBy <- r.URL.Host
	}
	return response, err
}

func (f *testFleet) instanceByEndpointsAddress(address string) *instance {
	for _, i := range f.instances {
		if i.address(endpointsPort) == address {
			return i
		}
	}
	return nil
}
