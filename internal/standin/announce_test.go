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

// daemon is a fake of the endpoint listener.
type daemon struct {
	server *httptest.Server

	mu     sync.Mutex
	home   string // named in replies; empty: itself
	others []string
	cancel []fleet.AttemptID
	beats  []engineapi.Heartbeat
	leaves []engineapi.Leave
	events []engineapi.CacheEvent
	keys   map[string]int
}

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{keys: map[string]int{}}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.server.Close)
	return d
}

func (d *daemon) address() string { return d.server.Listener.Addr().String() }

func (d *daemon) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys[r.Header.Get("Authorization")]++
	decoder := json.NewDecoder(r.Body)
	var answer any = d.reply()
	switch r.URL.Path {
	case "/v1/endpoints/heartbeat":
		var beat engineapi.Heartbeat
		_ = decoder.Decode(&beat)
		d.beats = append(d.beats, beat)
	case "/v1/endpoints/leave":
		var leave engineapi.Leave
		_ = decoder.Decode(&leave)
		d.leaves = append(d.leaves, leave)
		answer = engineapi.LeaveReply{Spread: true}
	case "/v1/endpoints/cache-events":
		var events engineapi.CacheEvents
		_ = decoder.Decode(&events)
		d.events = append(d.events, events.Events...)
		answer = engineapi.CacheEventsReply{}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (d *daemon) reply() engineapi.AnnounceReply {
	home := d.home
	if home == "" {
		home = d.address()
	}
	return engineapi.AnnounceReply{Home: home, HeartbeatMs: 10, LeaseMs: 100, Addresses: d.others, Cancel: d.cancel}
}

// locked runs read under the daemon's lock.
func (d *daemon) locked(read func() bool) func() bool {
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
	eventually(t, "heartbeats", home.locked(func() bool { return len(home.beats) > 2 }))
	assert.Equal(t, s.HomeAddress(), home.address())
	home.mu.Lock()
	defer home.mu.Unlock()
	beat := home.beats[1]
	assert.DeepEqual(t, beat.Announcement, s.Announcement())
	assert.NilError(t, beat.Announcement.Check())
	assert.Assert(t, beat.Sequence > home.beats[0].Sequence)
	assert.Equal(t, home.keys["Bearer k"], len(home.beats)+1)
}

// The home of an endpoint dies. The endpoint must make itself known elsewhere,
// at an address that the home had named, though no listed entry is left.
func TestEndpointFindsAnotherHome(t *testing.T) {
	first, second := newDaemon(t), newDaemon(t)
	first.others = []string{second.address()}
	start(t, standin.Options{Entries: []string{first.address()}})
	eventually(t, "heartbeats", first.locked(func() bool { return len(first.beats) > 0 }))
	first.server.CloseClientConnections()
	first.server.Close()
	eventually(t, "heartbeats elsewhere", second.locked(func() bool { return len(second.beats) > 0 }))
}

// A daemon dies with a request that it had started; the home names the hold
// in its next reply.
func TestHomeCancelsHolds(t *testing.T) {
	home := newDaemon(t)
	timing := quick()
	timing.KVLife = time.Hour
	s := start(t, standin.Options{Entries: []string{home.address()}, Timing: timing})
	f := newFlow(s, s, "orphan")
	assert.NilError(t, f.runPrefill(t.Context()))
	eventually(t, "hold reported", home.locked(func() bool {
		n := len(home.beats)
		return n > 0 && len(home.beats[n-1].Held) == 1 && home.beats[n-1].Held[0].Owner == owner
	}))
	home.mu.Lock()
	home.cancel = []fleet.AttemptID{f.attempt}
	home.mu.Unlock()
	eventually(t, "memory free", empty(s))
}

// An endpoint is stopped with a stream in flight: the stream must end whole.
func TestLeaveCutsOffNothing(t *testing.T) {
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
	text, _, err := read(stream)
	assert.NilError(t, err)
	assert.Equal(t, text, standin.ExpectedText(f.prompt, f.most))
	assert.NilError(t, <-done)
	assert.Equal(t, heldAtEnd, 0)
}

// Cache events of one batch are lost on the way: the home sees a gap in the
// numbers, and the snapshot has what the events would have told.
func TestCacheEventsHaveGaps(t *testing.T) {
	home := newDaemon(t)
	s := start(t, standin.Options{Entries: []string{home.address()}})
	eventually(t, "home", func() bool { return s.HomeAddress() != "" })
	s.SetFaults(standin.Faults{CacheGaps: 1})
	f := newFlow(s, s, strings.Repeat("a", 2*engineapi.PrefixBlockBytes))
	assert.NilError(t, f.runPrefill(t.Context()))
	eventually(t, "batch lost", func() bool { return s.Faults().CacheGaps == 0 })
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

// Two operators' orders cross: the older one arrives last.
func TestOrdersCheckTokensIfAsked(t *testing.T) {
	for name, checks := range map[string]bool{"checking": true, "ignoring": false} {
		t.Run(name, func(t *testing.T) {
			s := start(t, standin.Options{Role: fleet.RolePrefill, ChecksTokens: checks})
			client := engine.NewClient(engine.Options{})
			other := engineapi.ModelRef{Model: "fibre", Version: "2"}
			_, err := client.Order(t.Context(), target(s), engineapi.Order{ID: "b", Token: 5, Kind: engineapi.OrderLoad, Model: other})
			assert.NilError(t, err)
			_, err = client.Order(t.Context(), target(s), engineapi.Order{ID: "a", Token: 4, Kind: engineapi.OrderChangeRole, Role: fleet.RoleDecode})
			state, stateErr := client.State(t.Context(), target(s))
			assert.NilError(t, stateErr)
			assert.Equal(t, len(state.Models), 2)
			assert.Equal(t, state.LastToken, uint64(5))
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

// An endpoint process freezes: connections stay open, nothing answers, and
// after the thaw it goes on where it was.
func TestFreeze(t *testing.T) {
	home := newDaemon(t)
	s := start(t, standin.Options{Entries: []string{home.address()}})
	eventually(t, "heartbeats", home.locked(func() bool { return len(home.beats) > 0 }))
	s.SetFaults(standin.Faults{Freeze: true})
	client := engine.NewClient(engine.Options{ReadTimeout: 20 * time.Millisecond})
	_, err := client.Held(t.Context(), target(s))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	home.mu.Lock()
	before := len(home.beats)
	home.mu.Unlock()
	s.SetFaults(standin.Faults{})
	eventually(t, "heartbeats again", home.locked(func() bool { return len(home.beats) > before+1 }))
}
