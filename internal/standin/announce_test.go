package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// fakeDaemon emulates a daemon's endpoint listener.
type fakeDaemon struct {
	server *httptest.Server

	mu         sync.Mutex
	home       string // home in replies; empty: this daemon
	others     []string
	cancel     []fleet.AttemptID
	heartbeats []engineapi.Heartbeat
	leaves     []engineapi.Leave
	events     []engineapi.CacheEvent
	keys       map[string]int
}

func newDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{keys: map[string]int{}}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.server.Close)
	return d
}

func (d *fakeDaemon) address() string { return d.server.Listener.Addr().String() }

func (d *fakeDaemon) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys[r.Header.Get("Authorization")]++
	decoder := json.NewDecoder(r.Body)
	var answer any = d.reply()
	switch r.URL.Path {
	case "/v1/endpoints/heartbeat":
		var heartbeat engineapi.Heartbeat
		_ = decoder.Decode(&heartbeat)
		d.heartbeats = append(d.heartbeats, heartbeat)
	case "/v1/endpoints/leave":
		var leave engineapi.Leave
		_ = decoder.Decode(&leave)
		d.leaves = append(d.leaves, leave)
		answer = engineapi.LeaveReply{HomeConfirmed: true}
	case "/v1/endpoints/cache-events":
		var events engineapi.CacheEvents
		_ = decoder.Decode(&events)
		d.events = append(d.events, events.Events...)
		answer = engineapi.CacheEventsReply{}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (d *fakeDaemon) reply() engineapi.AnnounceReply {
	home := d.home
	if home == "" {
		home = d.address()
	}
	return engineapi.AnnounceReply{Home: home, HeartbeatMs: 10, LeaseMs: 100, Addresses: d.others, Cancel: d.cancel}
}

// locked returns a function that calls read with mu held.
func (d *fakeDaemon) locked(read func() bool) func() bool {
	return func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return read()
	}
}

func TestAnnouncementFollowsItsHome(t *testing.T) {
	first, home := newDaemon(t), newDaemon(t)
	first.home = home.address()
	s := start(t, standin.Options{Entries: []string{first.address()}, EndpointKey: "k"})
	eventually(t, "heartbeats", home.locked(func() bool { return len(home.heartbeats) > 2 }))
	assert.Equal(t, s.HomeAddress(), home.address())
	home.mu.Lock()
	defer home.mu.Unlock()
	heartbeat := home.heartbeats[1]
	assert.DeepEqual(t, heartbeat.Announcement, s.Announcement())
	assert.NilError(t, heartbeat.Announcement.Check())
	assert.Assert(t, heartbeat.Sequence > home.heartbeats[0].Sequence)
	assert.Equal(t, home.keys["Bearer k"], len(home.heartbeats)+1)
}

// The home of an endpoint dies. The endpoint must register at an address that the
// home had named, as no configured entry is left.
func TestEndpointFindsAnotherHome(t *testing.T) {
	first, second := newDaemon(t), newDaemon(t)
	first.others = []string{second.address()}
	start(t, standin.Options{Entries: []string{first.address()}})
	eventually(t, "heartbeats", first.locked(func() bool { return len(first.heartbeats) > 0 }))
	first.server.CloseClientConnections()
	first.server.Close()
	eventually(t, "heartbeats elsewhere", second.locked(func() bool { return len(second.heartbeats) > 0 }))
}

// A daemon dies while the endpoint holds a request of it. The home cancels the
// request in its next reply, and the memory must be freed.
func TestHomeCancelsHeldRequests(t *testing.T) {
	home := newDaemon(t)
	timing := fastTiming()
	timing.KVLifetime = time.Hour
	s := start(t, standin.Options{Entries: []string{home.address()}, Timing: timing})
	f := newFlow(s, s, "orphan")
	assert.NilError(t, f.runPrefill(t.Context()))
	eventually(t, "hold reported", home.locked(func() bool {
		n := len(home.heartbeats)
		return n > 0 && len(home.heartbeats[n-1].Held) == 1 && home.heartbeats[n-1].Held[0].Owner == owner
	}))
	home.mu.Lock()
	home.cancel = []fleet.AttemptID{f.attempt}
	home.mu.Unlock()
	eventually(t, "memory free", holdsNothing(s))
}

// An endpoint leaves while a stream is running: the stream must be completed.
func TestLeaveLetsStreamsFinish(t *testing.T) {
	home := newDaemon(t)
	p := start(t, standin.Options{ID: "prefill", Role: fleet.RolePrefill})
	d := start(t, standin.Options{ID: "decode", Role: fleet.RoleDecode, Entries: []string{home.address()}, RefuseLeaving: true})
	f, late := newFlow(p, d, "leaving [[tokens=60]]"), newFlow(p, d, "late")
	stream := f.toStream(t, 0)
	done := make(chan error, 1)
	heldAtEnd := 0
	go func() {
		err := d.Leave(context.Background())
		heldAtEnd = len(d.Held())
		done <- err
	}()
	eventually(t, "leave announced", home.locked(func() bool { return len(home.leaves) == 1 }))
	assert.NilError(t, late.runPrefill(t.Context()))
	assert.Equal(t, codeOf(late.runImport(t.Context())), engineapi.CodeLeaving)
	text, _, err := readStream(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, standin.ExpectedText(f.prompt, f.maxTokens))
	assert.NilError(t, <-done)
	assert.Equal(t, heldAtEnd, 0)
}

// One batch of cache events is lost: the home must see a gap in the sequence, and
// the snapshot must contain the missing changes.
func TestCacheEventsHaveGaps(t *testing.T) {
	home := newDaemon(t)
	s := start(t, standin.Options{Entries: []string{home.address()}})
	eventually(t, "home", func() bool { return s.HomeAddress() != "" })
	s.SetFaults(standin.Faults{DropCacheEventBatches: 1})
	f := newFlow(s, s, strings.Repeat("a", 2*engineapi.PrefixBlockBytes))
	assert.NilError(t, f.runPrefill(t.Context()))
	eventually(t, "batch lost", func() bool { return s.Faults().DropCacheEventBatches == 0 })
	g := newFlow(s, s, strings.Repeat("b", engineapi.PrefixBlockBytes))
	assert.NilError(t, g.runPrefill(t.Context()))
	eventually(t, "event came", home.locked(func() bool { return len(home.events) > 0 }))
	home.mu.Lock()
	defer home.mu.Unlock()
	assert.Equal(t, home.events[0].Sequence, uint64(3))
	snapshot, err := engine.NewClient(engine.Options{}).Cache(t.Context(), target(s))
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Sequence, uint64(3))
	assert.Equal(t, len(snapshot.Prefixes), 3)
}

func TestCachedPrefixSavesWork(t *testing.T) {
	p, d := pair(t)
	preamble := strings.Repeat("p", 4*engineapi.PrefixBlockBytes)
	f, g := newFlow(p, d, preamble+"one"), newFlow(p, d, preamble+"two")
	assert.NilError(t, f.runPrefill(t.Context()))
	assert.NilError(t, g.runPrefill(t.Context()))
	assert.Equal(t, f.kv.CachedTokens, 0)
	assert.Equal(t, g.kv.CachedTokens, engineapi.PrefixBlockBytes)
	assert.Assert(t, g.kv.WorkMs < f.kv.WorkMs)
}

// The orders of two operators arrive out of order, the older one last.
func TestOrdersCheckFencingTokensIfConfigured(t *testing.T) {
	for name, checks := range map[string]bool{"checking": true, "ignoring": false} {
		t.Run(name, func(t *testing.T) {
			s := start(t, standin.Options{Role: fleet.RolePrefill, ChecksFencingTokens: checks})
			client := engine.NewClient(engine.Options{})
			other := engineapi.ModelRef{Model: "fibre", Version: "2"}
			_, err := client.Order(t.Context(), target(s), engineapi.Order{ID: "b", FencingToken: 5, Kind: engineapi.OrderLoad, Model: other})
			assert.NilError(t, err)
			_, err = client.Order(t.Context(), target(s), engineapi.Order{ID: "a", FencingToken: 4, Kind: engineapi.OrderChangeRole, Role: fleet.RoleDecode})
			state, stateErr := client.State(t.Context(), target(s))
			assert.NilError(t, stateErr)
			assert.Equal(t, len(state.Models), 2)
			assert.Equal(t, state.LastFencingToken, uint64(5))
			if checks {
				assert.Equal(t, codeOf(err), engineapi.CodeOldToken)
				assert.Equal(t, state.Role, fleet.RolePrefill)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, state.Role, fleet.RoleDecode)
		})
	}
}

// An endpoint process freezes: connections stay open without an answer. Once
// unfrozen, it continues.
func TestFreeze(t *testing.T) {
	home := newDaemon(t)
	s := start(t, standin.Options{Entries: []string{home.address()}})
	eventually(t, "heartbeats", home.locked(func() bool { return len(home.heartbeats) > 0 }))
	s.SetFaults(standin.Faults{Freeze: true})
	client := engine.NewClient(engine.Options{ReadTimeout: 20 * time.Millisecond})
	_, err := client.Held(t.Context(), target(s))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	home.mu.Lock()
	before := len(home.heartbeats)
	home.mu.Unlock()
	s.SetFaults(standin.Faults{})
	eventually(t, "heartbeats again", home.locked(func() bool { return len(home.heartbeats) > before+1 }))
}
