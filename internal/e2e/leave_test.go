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

// newWorkBound is the promise: no new work after so long.
const newWorkBound = 3 * time.Second

// watchAfter is how long load goes on after a leave.
const watchAfter = 6 * time.Second

// front is an endpoint's listener that notes when new work arrives.
type front struct {
	server *httptest.Server
	mu     sync.Mutex
	behind http.Handler
	newest time.Time
	count  int
}

func newFront(t *testing.T) *front {
	f := &front{}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.CloseClientConnections)
	return f
}

func (f *front) address() string { return f.server.Listener.Addr().String() }

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	behind := f.behind
	if isNewWork(r.URL.Path) {
		f.newest = time.Now()
		f.count++
	}
	f.mu.Unlock()
	behind.ServeHTTP(w, r)
}

func isNewWork(path string) bool {
	return path == "/v1/prefill" || path == "/v1/kv/import" || strings.HasPrefix(path, "/call/")
}

func (f *front) seen() (newest time.Time, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest, f.count
}

// leavers is a fleet with two endpoints of each kind; the first of each kind
// has a front. The entry that confirms the decode engine's leave is told.
func leavers(t *testing.T) (*testFleet, []*emulated, []*front, <-chan string) {
	f := startFleet(t, plan{zones: []string{"a", "a", "a", "a"}, control: 3})
	e := &engines{fleet: f}
	heard := make(chan string, 1)
	var leaving []*emulated
	var fronts []*front
	for _, role := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		watched := newFront(t)
		m := e.add(t, "leaves-"+string(role), "a", role, func(o *standin.Options) {
			o.Advertise = watched.address()
			if role == fleet.RoleDecode {
				o.Transport = leaveWatch{&http.Transport{}, heard}
			}
		})
		watched.mu.Lock()
		watched.behind = m.Handler()
		watched.mu.Unlock()
		leaving = append(leaving, m)
		fronts = append(fronts, watched)
		e.add(t, "stays-"+string(role), "a", role)
	}
	e.awaitServing(t)
	e.awaitService(t)
	return f, leaving, fronts, heard
}

// bothKinds asks an entry for a completion and a plain call, over and over.
func bothKinds(t *testing.T, i *instance, n int, stop <-chan struct{}) {
	untilClosed(stop, func(k int) {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		_, _ = ask(ctx, i, request{prompt: fmt.Sprintf("leave %d %d [[tokens=5]]", n, k), maxTokens: 5, stream: true})
		_, _ = call(ctx, i, "/again", "", fmt.Sprintf("lookup %d %d", n, k))
		cancel()
	})
}

// An endpoint of each kind announces its leave, or falls silent. The entry that
// heard of it dies, or one that must hear of it is cut off from the rest. From
// 3 s on no entry gives it new work.
func TestLeavingOrSilentEndpointGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name string
		with func(t *testing.T, f *testFleet, leaving []*emulated, heard <-chan string)
	}{
		{"the entry that heard it dies", func(t *testing.T, f *testFleet, leaving []*emulated, heard <-chan string) {
			announce(t, leaving)
			f.byEndpoints(<-heard).kill(t)
		}},
		{"an entry is cut off from the rest", func(t *testing.T, f *testFleet, leaving []*emulated, heard <-chan string) {
			cutOff := f.instances[3]
			if leaving[1].HomeAddress() == cutOff.at(endpointsPort) {
				cutOff = f.instances[2]
			}
			f.isolate(cutOff, true)
			announce(t, leaving)
		}},
		{"silent", func(t *testing.T, _ *testFleet, leaving []*emulated, _ <-chan string) {
			for _, m := range leaving {
				m.SetFaults(standin.Faults{Freeze: true})
			}
		}},
		{"silent and an entry is cut off", func(t *testing.T, f *testFleet, leaving []*emulated, heard <-chan string) {
			f.isolate(f.instances[3], true)
			for _, m := range leaving {
				m.SetFaults(standin.Faults{Freeze: true})
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, leaving, fronts, heard := leavers(t)
			stop := make(chan struct{})
			var load sync.WaitGroup
			for n := range 8 {
				load.Go(func() { bothKinds(t, f.instances[n%4], n, stop) })
			}
			for _, watched := range fronts {
				eventually(t, callTime, func() error { return watched.sawAtLeast(10) })
			}
			left := time.Now()
			c.with(t, f, leaving, heard)
			<-time.After(watchAfter)
			close(stop)
			load.Wait()
			for n, watched := range fronts {
				newest, _ := watched.seen()
				t.Logf("%s: last new work %s after", leaving[n].id(), newest.Sub(left).Round(time.Millisecond))
				assert.Check(t, newest.Sub(left) < newWorkBound, "%s got new work %s after", leaving[n].id(), newest.Sub(left))
			}
		})
	}
}

func (f *front) sawAtLeast(count int) error {
	if _, seen := f.seen(); seen < count {
		return fmt.Errorf("%d of %d pieces of work seen", seen, count)
	}
	return nil
}

// announce lets endpoints tell their leave.
func announce(t *testing.T, leaving []*emulated) {
	for _, m := range leaving {
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		t.Cleanup(cancel)
		go func() { _ = m.Leave(ctx) }() // ends when the endpoint holds nothing
	}
}

// leaveWatch passes an endpoint's calls on and tells which entry confirmed its
// leave.
type leaveWatch struct {
	http.RoundTripper
	heard chan string
}

func (w leaveWatch) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := w.RoundTripper.RoundTrip(r)
	if err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(r.URL.Path, "/leave") {
		w.heard <- r.URL.Host
	}
	return response, err
}

func (f *testFleet) byEndpoints(address string) *instance {
	for _, i := range f.instances {
		if i.at(endpointsPort) == address {
			return i
		}
	}
	return nil
}
