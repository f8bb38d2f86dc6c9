package provision

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits of a Gate.
const (
	maxStops        = 1024
	maxStopDuration = 30 * time.Second // maximum life of a stop that isn't renewed
	maxRecentGrants = 16384            // grants in each of the two generations
	rotateInterval  = 30 * time.Second // far longer than until a grant is confirmed or ends
)

// Gate stops new grants for endpoints whose home is this daemon, so that they
// can be drained before an order.
//
// It guards against unloading a model while requests run on it: these would fail,
// and callers would wait for their repeats. The guard holds because an endpoint's
// stop precedes the check whether it is idle, grant requests that passed before
// the stop count as in flight until they are answered, and a stop that isn't
// renewed expires, so that a crashed planner doesn't withhold an endpoint for long.
//
// Safe for concurrent use. mu is not held during calls.
type Gate struct {
	stopCount atomic.Int32 // len(stops), readable without the lock

	mu           sync.Mutex
	stops        map[fleet.EndpointID]stop
	inFlight     map[fleet.EndpointID]int // grant requests without an answer yet
	recentGrants [2]map[grantKey]struct{} // newer generation first, so that renewals pass
	rotated      time.Time                // when the newer generation began
}

type stop struct {
	order string
	until time.Time
}

type grantKey struct {
	endpoint, attempt, kind string
}

// NewGate returns a gate without stops.
func NewGate() *Gate {
	return &Gate{
		stops:        make(map[fleet.EndpointID]stop),
		inFlight:     make(map[fleet.EndpointID]int),
		recentGrants: [2]map[grantKey]struct{}{{}, {}},
	}
}

func (g *Gate) anyStopped() bool { return g.stopCount.Load() > 0 }

func (g *Gate) stopped(now time.Time, id fleet.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isStopped(now, id)
}

func (g *Gate) isStopped(now time.Time, id fleet.EndpointID) bool {
	s, ok := g.stops[id]
	if ok && !now.Before(s.until) {
		g.removeStop(id)
		return false
	}
	return ok
}

func (g *Gate) removeStop(id fleet.EndpointID) {
	delete(g.stops, id)
	g.stopCount.Store(int32(len(g.stops)))
}

// enter counts a grant request in flight until leave is called. ok is false when
// the endpoint is stopped.
func (g *Gate) enter(now time.Time, id fleet.EndpointID) (leave func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isStopped(now, id) {
		return nil, false
	}
	g.inFlight[id]++
	return func() { g.leave(id) }, true
}

func (g *Gate) leave(id fleet.EndpointID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[id]--
	if g.inFlight[id] <= 0 {
		delete(g.inFlight, id)
	}
}

// stop stops new grants for an endpoint for life, or ends its stop if life is 0.
// ok is false when the stop belongs to another order, or there are too many
// stops, or life is 0. noneInFlight reports that no grant request is in flight.
func (g *Gate) stop(now time.Time, id fleet.EndpointID, order string, life time.Duration) (ok, noneInFlight bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.isStopped(now, id)
	if held && g.stops[id].order != order {
		return false, false
	}
	if life <= 0 {
		g.removeStop(id)
		return false, false
	}
	if !held && len(g.stops) >= maxStops {
		return false, false
	}
	g.stops[id] = stop{order: order, until: now.Add(min(life, maxStopDuration))}
	g.stopCount.Store(int32(len(g.stops)))
	return true, g.inFlight[id] == 0
}

// addGrant stores a grant, so that its renewals pass a stop.
func (g *Gate) addGrant(now time.Time, k grantKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.rotated) >= rotateInterval || len(g.recentGrants[0]) >= maxRecentGrants {
		g.recentGrants = [2]map[grantKey]struct{}{{}, g.recentGrants[0]}
		g.rotated = now
	}
	g.recentGrants[0][k] = struct{}{}
}

func (g *Gate) hasGrant(k grantKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, newer := g.recentGrants[0][k]
	_, older := g.recentGrants[1][k]
	return newer || older
}
