package endpoint

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// followedEndpoint is one followed endpoint incarnation. Data that may change
// without a new index is atomic, so that Candidates takes no lock.
type followedEndpoint struct {
	static Candidate // without the data in dynamic
	home   fleet.Owner
	// dynamic is replaced as a whole by each newer digest.
	dynamic atomic.Pointer[dynamicState]
	// inFlight counts this daemon's acquisitions less its releases that no
	// digest includes yet.
	inFlight atomic.Int32
}

// dynamicState is the data that changes from digest to digest.
type dynamicState struct {
	sequence     uint64
	requestedAt  time.Time // when the request for the digest was sent
	granted      int
	queued       int
	nextFree     time.Duration
	queuedWork   time.Duration
	tokenTime    time.Duration
	leaving      bool
	cached       map[uint64]struct{}
	cacheVersion uint64
}

// maxDigestAge is how old a digest may be to be used for placement.
const maxDigestAge = 2 * time.Second

func newFollowedEndpoint(d *pb.EndpointDigest, home fleet.Owner) *followedEndpoint {
	r := &followedEndpoint{home: home, static: Candidate{
		ID:          fleet.EndpointID(d.GetId()),
		Incarnation: fleet.Incarnation(d.GetIncarnation()),
		Zone:        fleet.AvailabilityZone(d.GetAvailabilityZone()),
		Address:     d.GetAddress(),
		Role:        fleet.EndpointRole(d.GetRole()),
		Service:     d.GetService(),
		Slots:       int(d.GetSlots()),
		Software:    d.GetSoftware(),
	}}
	for _, m := range d.GetModels() {
		r.static.Models = append(r.static.Models, parseModel(m))
	}
	return r
}

// parseModel is the inverse of engineapi.ModelRef.String.
func parseModel(s string) engineapi.ModelRef {
	model, rest, _ := strings.Cut(s, "@")
	version, adapter, _ := strings.Cut(rest, "/")
	return engineapi.ModelRef{Model: model, Version: version, Adapter: adapter}
}

// update applies the dynamic data of a digest, unless the digest is of another
// incarnation or not newer in its home's order. The prefixes stay if the digest
// has no newer ones.
func (e *followedEndpoint) update(requestedAt time.Time, d *pb.EndpointDigest, incarnation fleet.Incarnation) {
	if incarnation != e.static.Incarnation {
		return
	}
	fresh := newDynamicState(requestedAt, d)
	for {
		old := e.dynamic.Load()
		if old != nil && old.sequence >= d.GetSequence() {
			return
		}
		if old != nil && d.GetCacheSequence() <= old.cacheVersion {
			fresh.cached, fresh.cacheVersion = old.cached, old.cacheVersion
		}
		if e.dynamic.CompareAndSwap(old, fresh) {
			return
		}
	}
}

// markStale makes the endpoint unusable until a newer digest arrives.
func (e *followedEndpoint) markStale() {
	old := e.dynamic.Load()
	if old == nil {
		return
	}
	stale := *old
	stale.requestedAt = time.Time{}
	e.dynamic.CompareAndSwap(old, &stale)
}

func newDynamicState(requestedAt time.Time, d *pb.EndpointDigest) *dynamicState {
	f := &dynamicState{
		sequence:     d.GetSequence(),
		requestedAt:  requestedAt,
		granted:      int(d.GetGranted()),
		queued:       int(d.GetQueued()),
		nextFree:     boundedMs(d.GetNextFreeMs(), time.Hour),
		queuedWork:   boundedMs(d.GetQueuedWorkMs(), time.Hour),
		leaving:      d.GetLeaving(),
		cacheVersion: d.GetCacheSequence(),
	}
	f.tokenTime = time.Duration(d.GetTokenTimeUs()) * time.Microsecond
	if n := len(d.GetCachedPrefixes()); n > 0 {
		f.cached = make(map[uint64]struct{}, min(n, maxDigestPrefixes))
		for _, p := range d.GetCachedPrefixes()[:min(n, maxDigestPrefixes)] {
			f.cached[p] = struct{}{}
		}
	}
	return f
}

// usable returns the endpoint's dynamic data; ok is false if the endpoint must not be used at now.
func (e *followedEndpoint) usable(now time.Time) (f *dynamicState, ok bool) {
	f = e.dynamic.Load()
	return f, f != nil && !f.leaving && now.Sub(f.requestedAt) <= maxDigestAge
}

// fill writes the candidate as of now; ok is false if the endpoint must not be
// used.
func (e *followedEndpoint) fill(now time.Time, into *Candidate) (ok bool) {
	f, ok := e.usable(now)
	if !ok {
		return false
	}
	*into = e.static
	into.Granted = max(f.granted+int(e.inFlight.Load()), 0)
	into.Queued = f.queued
	into.SlotWait = f.nextFree
	into.QueuedWork = f.queuedWork
	into.TokenTime = f.tokenTime
	into.CachedPrefixes = f.cached
	if f.queued == 0 && into.Granted < into.Slots && f.granted >= into.Slots {
		into.SlotWait = 0 // a slot was released since the digest
	}
	return true
}
