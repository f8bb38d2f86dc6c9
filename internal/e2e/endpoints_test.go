package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// engines is a set of emulated endpoints in the test process. Their records
// outlive their deaths.
type engines struct {
	fleet *testFleet
	all   []*emulated
}

// emulated is one emulated endpoint.
type emulated struct {
	*standin.Standin
	cancel context.CancelFunc
	done   chan struct{} // closed once it has ended
}

// quick is an engine some ten times faster than a real one.
func quick() standin.Timing {
	return standin.Timing{
		StepBase:           2 * time.Millisecond,
		StepPerRequest:     100 * time.Microsecond,
		PrefillBase:        10 * time.Millisecond,
		PrefillPerToken:    10 * time.Microsecond,
		PrefillSlice:       2 * time.Millisecond,
		KVBytesPerToken:    1 << 10,
		LinkBytesPerSecond: 100 << 20,
		KVBytesPerWireByte: 16,
		CallDuration:       time.Millisecond,
		LeaveGrace:         time.Millisecond,
		ModelLoadTime:      time.Millisecond,
		CacheEventInterval: 5 * time.Millisecond,
		LoadReportDelay:    time.Millisecond,
	}
}

// add starts an emulated endpoint that announces itself to all entries.
func (e *engines) add(t *testing.T, id, zone string, role fleet.EndpointRole, adjust ...func(*standin.Options)) *emulated {
	t.Helper()
	options := standin.Options{
		ID:          fleet.EndpointID(id),
		Zone:        fleet.AvailabilityZone(zone),
		Role:        role,
		Timing:      quick(),
		Listen:      "127.0.0.1:0",
		EndpointKey: endpointKey,
	}
	if role == fleet.RolePlain {
		options.Service = "s"
	} else {
		options.Models = []engineapi.ModelRef{{Model: "m", Version: "1"}}
	}
	for _, i := range e.fleet.instances {
		options.Entries = append(options.Entries, i.at(endpointsPort))
	}
	for _, a := range adjust {
		a(&options)
	}
	return e.run(t, options)
}

func (e *engines) run(t *testing.T, options standin.Options) *emulated {
	t.Helper()
	m := &emulated{done: make(chan struct{})}
	if options.Exit == nil {
		options.Exit = func(int) { m.cancel() }
	}
	s, err := standin.New(options)
	assert.NilError(t, err)
	m.Standin = s
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	var ended error
	go func() {
		defer close(m.done)
		ended = s.Run(ctx)
	}()
	select {
	case <-s.Ready():
	case <-m.done:
		assert.NilError(t, ended)
	}
	t.Cleanup(cancel)
	e.all = append(e.all, m)
	return m
}

// kill drops the endpoint with all its connections.
func (m *emulated) kill() {
	m.cancel()
	<-m.done
}

// ended tells whether the endpoint is gone.
func (m *emulated) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

func (m *emulated) id() fleet.EndpointID { return m.Announcement().ID }

// faults sets the endpoint's switches.
func (m *emulated) faults(t *testing.T, f standin.Faults) {
	t.Helper()
	text, err := json.Marshal(f)
	assert.NilError(t, err)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(string(text))))
	assert.Assert(t, recorder.Code < http.StatusBadRequest, "%s", recorder.Body)
}

// audit gives the endpoint's own record.
func (m *emulated) audit(t *testing.T) standin.Audit {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/audit", nil))
	assert.Equal(t, recorder.Code, http.StatusOK)
	var a standin.Audit
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &a))
	return a
}

// awaitServing waits until a completion at each entry is answered whole.
func (e *engines) awaitServing(t *testing.T) {
	t.Helper()
	e.awaitWhole(t, func(i *instance) (answer, error) {
		return ask(callContext(t), i, request{prompt: "warm up " + i.id, maxTokens: 2})
	})
}

func (e *engines) awaitWhole(t *testing.T, send func(*instance) (answer, error)) {
	t.Helper()
	for _, i := range e.fleet.instances {
		eventually(t, 15*time.Second, func() error {
			a, err := send(i)
			if err == nil && !a.whole() {
				err = fmt.Errorf("%s: %+v", i.id, a)
			}
			return err
		})
	}
}

// awaitService waits until a repeatable plain call at each entry is answered.
func (e *engines) awaitService(t *testing.T) {
	t.Helper()
	e.awaitWhole(t, func(i *instance) (answer, error) {
		return call(callContext(t), i, "/again", "", "warm up")
	})
}

// runsOf counts how often a plain call with this body marker ran anywhere.
func (e *engines) runsOf(t *testing.T, marker string) int {
	t.Helper()
	runs := 0
	for _, m := range e.all {
		for _, r := range m.audit(t).CallRuns {
			if r.Marker == marker {
				runs++
			}
		}
	}
	return runs
}

// awaitHeld waits until these endpoints together hold so many attempts.
func awaitHeld(t *testing.T, count int, at ...*emulated) {
	t.Helper()
	eventually(t, callTime, func() error {
		held := 0
		for _, m := range at {
			held += m.audit(t).Held
		}
		if held < count {
			return fmt.Errorf("%d of %d held", held, count)
		}
		return nil
	})
}

// awaitNothingHeld waits until no live endpoint holds memory.
func (e *engines) awaitNothingHeld(t *testing.T, within time.Duration) {
	t.Helper()
	eventually(t, within, func() error {
		for _, m := range e.all {
			if m.ended() {
				continue
			}
			if held := m.audit(t).Held; held > 0 {
				return fmt.Errorf("%s holds %d", m.id(), held)
			}
		}
		return nil
	})
}
