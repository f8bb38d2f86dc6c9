package provision

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// The gate's bounds.
const (
	maxStops   = 1024
	maxStop    = 30 * time.Second // longest life of a stop that isn't renewed
	maxKnown   = 16384            // grants remembered in each half
	rotateHalf = 30 * time.Second // a grant is confirmed or ends long before
)

// Gate stops new work for endpoints whose home is this daemon, so that they
// can be emptied before an order.
//
// Failure: a model is unloaded while requests run on it: they break off, and
// callers wait for their repeats. The guard holds because a stop comes before
// the question whether the endpoint is idle, takes that passed before the stop
// are counted until they have their answer, and a stop that isn't renewed ends
// by itself, so that a dead planner withdraws no endpoint for long.
//
// Safe for many goroutines. mu is held during no call.
type Gate struct {
	count atomic.Int32 // stops, for the quick way

	mu    sync.Mutex
	stops map[fleet.EndpointID]stop
	under map[fleet.EndpointID]int
	known [2]map[grantKey]struct{} // grants given, so that renewals pass
	since time.Time
}

type stop struct {
	order string
	until time.Time
}

type grantKey struct {
	endpoint, attempt, kind string
}

// NewGate makes a gate that stops nothing.
func NewGate() *Gate {
	return &Gate{
		stops: make(map[fleet.EndpointID]stop),
		under: make(map[fleet.EndpointID]int),
		known: [2]map[grantKey]struct{}{{}, {}},
	}
}

func (g *Gate) any() bool { return g.count.Load() > 0 }

func (g *Gate) stopped(now time.Time, id fleet.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isStopped(now, id)
}

func (g *Gate) isStopped(now time.Time, id fleet.EndpointID) bool {
	s, ok := g.stops[id]
	if ok && !now.Before(s.until) {
		g.drop(id)
		return false
	}
	return ok
}

func (g *Gate) drop(id fleet.EndpointID) {
	delete(g.stops, id)
	g.count.Store(int32(len(g.stops)))
}

// enter counts a take under way; ok is false when the endpoint is stopped.
func (g *Gate) enter(now time.Time, id fleet.EndpointID) (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isStopped(now, id) {
		return nil, false
	}
	g.under[id]++
	return func() { g.leave(id) }, true
}

func (g *Gate) leave(id fleet.EndpointID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.under[id]--
	if g.under[id] <= 0 {
		delete(g.under, id)
	}
}

// stop stops an endpoint for life, or with life 0 lets it go on. ok is false
// when another order has stopped it, or there are too many stops. quiet tells
// that no take is under way.
func (g *Gate) stop(now time.Time, id fleet.EndpointID, order string, life time.Duration) (ok, quiet bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.isStopped(now, id)
	if held && g.stops[id].order != order {
		return false, false
	}
	if life <= 0 {
		g.drop(id)
		return false, false
	}
	if !held && len(g.stops) >= maxStops {
		return false, false
	}
	g.stops[id] = stop{order: order, until: now.Add(min(life, maxStop))}
	g.count.Store(int32(len(g.stops)))
	return true, g.under[id] == 0
}

// remember notes a grant, so that its renewals pass a stop.
func (g *Gate) remember(now time.Time, k grantKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.since) >= rotateHalf || len(g.known[0]) >= maxKnown {
		g.known = [2]map[grantKey]struct{}{{}, g.known[0]}
		g.since = now
	}
	g.known[0][k] = struct{}{}
}

func (g *Gate) knows(k grantKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, newer := g.known[0][k]
	_, older := g.known[1][k]
	return newer || older
}
