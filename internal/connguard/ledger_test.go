package connguard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unit is the unit of the tests' bounds, bytes.
const unit = 16 << 10

// testLimits let requests hold 1000 units.
var testLimits = Limits{MemoryBytes: 1000 * unit * 8 / 7, Connections: 100, ConnectionBytes: 10 * unit, BytesPerSecond: unit, StallTimeout: 5 * time.Second}

// testLedger is a Ledger whose evicted connections end at once.
type testLedger struct {
	*Ledger
	now     time.Time
	evicted []string
}

func newTestLedger(l Limits) *testLedger {
	return &testLedger{Ledger: NewLedger(l), now: time.Unix(1000, 0)}
}

// open opens a connection; nil if there is no room.
func (l *testLedger) open(name string) *Account {
	var a *Account
	a = l.Open(l.now, func(Eviction) {
		l.evicted = append(l.evicted, name)
		a.Close()
	})
	return a
}

// receive opens a connection that receives a request, of which it holds some bytes.
func (l *testLedger) receive(t *testing.T, name string, held int64) *Account {
	t.Helper()
	a := l.open(name)
	assert.Assert(t, a != nil)
	a.Receive(l.now, held)
	assert.Assert(t, a.Hold(l.now, held))
	return a
}

// Guards against the one that comes last being refused while others hold the memory for nothing.
func TestStalledRequestsMakeRoom(t *testing.T) {
	l := newTestLedger(testLimits)
	for range 30 {
		l.receive(t, "stalled", 20*unit)
	}
	l.now = l.now.Add(3 * time.Second)
	assert.Assert(t, l.receive(t, "late", 300*unit) != nil)
	assert.Assert(t, len(l.evicted) >= 7, "%d", len(l.evicted))
	for _, name := range l.evicted {
		assert.Equal(t, name, "stalled")
	}
}

// Guards against requests that are being served, and are broken off for others' sake.
func TestServedRequestsAreNeverEvicted(t *testing.T) {
	l := newTestLedger(testLimits)
	for range 10 {
		l.receive(t, "served", 85*unit).Enter(l.now, Serving)
	}
	l.now = l.now.Add(time.Hour)
	a := l.open("new")
	assert.Assert(t, a != nil)
	a.Receive(l.now, unit)
	assert.Assert(t, !a.Hold(l.now, 100*unit))
	assert.Assert(t, l.open("another") != nil)
	assert.Equal(t, len(l.evicted), 0)
}

// Guards against a request in progress that gives way to what others send at the same time: who holds
// most goes first.
func TestLargestGoesFirst(t *testing.T) {
	l := newTestLedger(testLimits)
	for range 4 {
		l.receive(t, "large", 200*unit)
	}
	small := l.receive(t, "small", unit)
	l.receive(t, "small", 150*unit)
	assert.DeepEqual(t, l.evicted, []string{"large"})
	large := l.receive(t, "small", unit)
	assert.Assert(t, !large.Hold(l.now, 900*unit), "it would hold more than any other")
	assert.Assert(t, small.Hold(l.now, unit))
}

// Guards against a slow request that counts as stalled though it arrives as fast as it must.
func TestProgressIsNoStall(t *testing.T) {
	l := newTestLedger(testLimits)
	steady, trickle := l.open("steady"), l.open("trickle")
	for n := range 20 {
		l.now = l.now.Add(time.Second)
		_, _, late := steady.Receive(l.now, 2*unit)
		assert.Assert(t, !late)
		_, _, late = trickle.Receive(l.now, 1)
		assert.Equal(t, late, n > 5, "after %d s", n+1)
	}
	assert.Equal(t, steady.lateness(l.now), time.Duration(0))
}

// Guards against a crowd of silent connections that keeps others out, or takes those that callers keep
// for their next request.
func TestSilentConnectionsGoFirst(t *testing.T) {
	l := newTestLedger(testLimits)
	kept := l.open("kept")
	kept.Enter(l.now, Serving)
	kept.Enter(l.now, Idle)
	l.now = l.now.Add(time.Second)
	for range 400 {
		l.now = l.now.Add(10 * time.Millisecond)
		assert.Assert(t, l.open("silent") != nil)
	}
	for _, name := range l.evicted {
		assert.Equal(t, name, "silent")
	}
	connections, held := l.Use()
	assert.Assert(t, connections <= testLimits.Connections && held <= testLimits.MemoryBytes)
}

// Guards against a response that isn't taken, which holds its memory for as long as its client likes.
func TestResponsesThatArentTakenMakeRoom(t *testing.T) {
	l := newTestLedger(testLimits)
	for range 9 {
		a := l.receive(t, "unread", 90*unit)
		a.Enter(l.now, Serving)
		a.BeginSend(l.now)
	}
	l.now = l.now.Add(time.Second)
	l.receive(t, "new", 200*unit)
	assert.Assert(t, len(l.evicted) >= 2)
}

// Guards against memory that is given twice while evicted connections still hold it.
func TestEvictedConnectionsCountUntilTheyEnd(t *testing.T) {
	limits := testLimits
	l := NewLedger(limits)
	now := time.Unix(1000, 0)
	evicted := 0
	for range 90 {
		a := l.Open(now, func(Eviction) { evicted++ }) // it doesn't end
		if a != nil {
			a.Receive(now, 1)
			a.Hold(now, 30*unit)
			a.Enter(now, Body)
		}
		now = now.Add(time.Second)
	}
	_, held := l.Use()
	assert.Assert(t, evicted > 0)
	assert.Assert(t, held <= limits.MemoryBytes*3/2, "%d units", held/unit)
}

// Guards against an account that isn't closed: no connection would find room after a while.
func TestClosedAccountsHoldNothing(t *testing.T) {
	l := newTestLedger(testLimits)
	for range 3 {
		var open []*Account
		for range 20 {
			open = append(open, l.receive(t, "a", 10*unit))
		}
		for _, a := range open {
			a.Release(3 * unit)
			a.Close()
			a.Close()
		}
	}
	connections, held := l.Use()
	assert.Equal(t, connections, 0)
	assert.Equal(t, held, int64(0))
}

// Guards against a request that is refused since it holds more than each of the silent connections that
// hold the rest.
func TestRequestsGoBeforeSilentConnections(t *testing.T) {
	limits := testLimits
	limits.Connections = 0
	l := newTestLedger(limits)
	for range 80 {
		assert.Assert(t, l.open("silent") != nil)
	}
	l.now = l.now.Add(time.Second)
	l.receive(t, "request", 300*unit)
	for _, name := range l.evicted {
		assert.Equal(t, name, "silent")
	}
}

// Guards against requests of a crowd that are being served, and leave no memory for those of others.
func TestHeavyRequestsLeaveMemoryForOthers(t *testing.T) {
	l := newTestLedger(testLimits)
	served := 0
	for range 50 {
		a := l.open("heavy")
		a.Receive(l.now, 1)
		if a.SetHeavy(true, 20*unit) && a.Hold(l.now, 20*unit) {
			a.Enter(l.now, Serving)
			served++
		}
	}
	assert.Equal(t, served, 19) // half of the bound, 30 units each
	l.now = l.now.Add(time.Second)
	for range 10 {
		a := l.open("ordinary")
		a.Enter(l.now, Body)
		assert.Assert(t, a.SetHeavy(false, 20*unit) && a.Hold(l.now, 20*unit))
		a.Enter(l.now, Serving)
	}
	assert.Equal(t, l.serving, int64(29*30*unit))
}
