package endpoint

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// row is one followed endpoint incarnation. What may change without a new
// index is atomic, so that Candidates takes no lock.
type row struct {
	fixed Candidate // without the changing figures
	home  fleet.Owner
	// figures is replaced as a whole by each newer digest.
	figures atomic.Pointer[figures]
	// underway counts this daemon's takes less its gives that no digest knows.
	underway atomic.Int32
}

// figures are what changes from digest to digest.
type figures struct {
	sequence   uint64
	at         time.Time // arrival here
	granted    int
	queued     int
	nextFree   time.Duration
	queuedWork time.Duration
	tokenTime  time.Duration
	leaving    bool
	cached     map[uint64]struct{}
	cacheAt    uint64
}

// digestLife is how old a digest may be to be used for placement.
const digestLife = 2 * time.Second

func newRow(d *pb.EndpointDigest, home fleet.Owner) *row {
	r := &row{home: home, fixed: Candidate{
		ID:          fleet.EndpointID(d.GetId()),
		Incarnation: fleet.Incarnation(d.GetIncarnation()),
		Zone:        fleet.AvailabilityZone(d.GetAvailabilityZone()),
		Address:     d.GetAddress(),
		Role:        fleet.EndpointRole(d.GetRole()),
		Service:     d.GetService(),
		Slots:       int(d.GetSlots()),
	}}
	for _, m := range d.GetModels() {
		r.fixed.Models = append(r.fixed.Models, parseModel(m))
	}
	return r
}

// parseModel is the inverse of engineapi.ModelRef.String.
func parseModel(s string) engineapi.ModelRef {
	model, rest, _ := strings.Cut(s, "@")
	version, adapter, _ := strings.Cut(rest, "/")
	return engineapi.ModelRef{Model: model, Version: version, Adapter: adapter}
}

// update takes a digest's figures unless it is late: of another incarnation,
// or not newer in its home's order. Prefixes stay when the digest has none.
func (r *row) update(now time.Time, d *pb.EndpointDigest, incarnation fleet.Incarnation) {
	if incarnation != r.fixed.Incarnation {
		return
	}
	fresh := newFigures(now, d)
	for {
		old := r.figures.Load()
		if old != nil && old.sequence >= d.GetSequence() {
			return
		}
		if old != nil && d.GetCacheSequence() <= old.cacheAt {
			fresh.cached, fresh.cacheAt = old.cached, old.cacheAt
		}
		if r.figures.CompareAndSwap(old, fresh) {
			return
		}
	}
}

// distrust makes what is known unusable until a newer digest comes.
func (r *row) distrust() {
	old := r.figures.Load()
	if old == nil {
		return
	}
	stale := *old
	stale.at = time.Time{}
	r.figures.CompareAndSwap(old, &stale)
}

func newFigures(now time.Time, d *pb.EndpointDigest) *figures {
	f := &figures{
		sequence:   d.GetSequence(),
		at:         now,
		granted:    int(d.GetGranted()),
		queued:     int(d.GetQueued()),
		nextFree:   boundedMs(d.GetNextFreeMs(), time.Hour),
		queuedWork: boundedMs(d.GetQueuedWorkMs(), time.Hour),
		leaving:    d.GetLeaving(),
		cacheAt:    d.GetCacheSequence(),
	}
	f.tokenTime = time.Duration(d.GetTokenTimeUs()) * time.Microsecond
	if n := len(d.GetCachedPrefixes()); n > 0 {
		f.cached = make(map[uint64]struct{}, min(n, maxDigestPrefix))
		for _, p := range d.GetCachedPrefixes()[:min(n, maxDigestPrefix)] {
			f.cached[p] = struct{}{}
		}
	}
	return f
}

// fill writes the candidate as it is at now; ok is false when the endpoint is
// not to be used.
func (r *row) fill(now time.Time, into *Candidate) (ok bool) {
	f := r.figures.Load()
	if f == nil || f.leaving || now.Sub(f.at) > digestLife {
		return false
	}
	*into = r.fixed
	into.Granted = max(f.granted+int(r.underway.Load()), 0)
	into.Queued = f.queued
	into.NextFree = f.nextFree
	into.QueuedWork = f.queuedWork
	into.TokenTime = f.tokenTime
	into.CachedPrefixes = f.cached
	if f.queued == 0 && into.Granted < into.Slots && f.granted >= into.Slots {
		into.NextFree = 0 // a slot was given back since the digest
	}
	return true
}
