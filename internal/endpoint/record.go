package endpoint

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// record is all that a home knows of one endpoint incarnation.
type record struct {
	announced engineapi.Announcement
	heard     time.Time // arrival of the last announcement or heartbeat
	beat      bool      // a held list has come
	beatAt    time.Time // when the last held list came
	sequence  uint64    // of the last heartbeat
	first     uint64    // sequence of the first heartbeat since this is its home
	skipped   time.Time // when a heartbeat last came whose number wasn't the next
	doubt     bool      // a view was missed: another home may have granted
	complete  bool      // this home has granted, or may, with full knowledge
	quiet     time.Time // nothing is granted before: see tenure
	leaving   bool
	silent    bool // the lease ran out
	holds     map[holdKey]*hold
	released  map[holdKey]time.Time
	failed    map[fleet.Fingerprint]time.Time // ended by ENDPOINT_FAILED since the last heartbeat
	queue     *fairQueue
	limited   limited
	load      engineapi.Load
	loadAt    time.Time // the moment that load speaks of
	cache     cacheIndex
	cacheAt   uint64 // the home's cache version at the last change
	drain     drainRate
	prefilled time.Time      // when the last prefill ended
	home      fleet.Instance // by the view numbered homeView
	homeKnown bool
	homeView  uint64
	probed    time.Time
	crashAt   time.Time // when the death is reported; zero: it isn't dead
}

func newRecord(now time.Time, a engineapi.Announcement, quiet time.Time) *record {
	return &record{
		announced: a,
		heard:     now,
		quiet:     quiet,
		holds:     make(map[holdKey]*hold),
		released:  make(map[holdKey]time.Time),
		failed:    make(map[fleet.Fingerprint]time.Time),
		queue:     newFairQueue(maxQueue),
	}
}

func (r *record) target() engine.Target {
	return engine.Target{
		ID:          r.announced.ID,
		Incarnation: r.announced.Incarnation,
		Zone:        r.announced.Zone,
		Address:     r.announced.Address,
	}
}

// used counts the slots that are taken, by this home's grants and by what the
// endpoint reports beyond them. Promises count once a slot has become theirs.
func (r *record) used() int {
	n := 0
	for _, h := range r.holds {
		if h.state != holdPromised {
			n++
		}
	}
	return n
}

func (r *record) promised() []*hold {
	var list []*hold
	for _, h := range r.holds {
		if h.state == holdPromised {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *hold) int { return a.granted.Compare(b.granted) })
	return list
}

// aloneTaken tells whether another suspect than attempt runs here, or something
// runs here of which this home doesn't know whether it is a suspect.
//
// Failure: a suspect gets its decode slot and its prefill at one endpoint of
// both roles, waits there for itself, and fails at its deadline. Its own grant
// is no other suspect.
func (r *record) aloneTaken(attempt fleet.AttemptID) bool {
	for key, h := range r.holds {
		if key.attempt == attempt {
			continue
		}
		if h.alone || h.state == holdReported {
			return true
		}
	}
	return false
}

// byAttempt finds a hold of the attempt in either kind.
func (r *record) byAttempt(attempt fleet.AttemptID) []*hold {
	var list []*hold
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		if h, ok := r.holds[holdKey{attempt, kind}]; ok {
			list = append(list, h)
		}
	}
	return list
}

// drainRate is how often slots are freed, learned from releases.
type drainRate struct {
	last time.Time
	gap  float64 // ms between releases, smoothed
}

const drainGain = 0.2

func (d *drainRate) released(now time.Time) {
	if !d.last.IsZero() {
		gap := float64(now.Sub(d.last)) / float64(time.Millisecond)
		if d.gap == 0 {
			d.gap = gap
		}
		d.gap += drainGain * (gap - d.gap)
	}
	d.last = now
}

// clear gives the time in which n slots are freed; 0: not known.
func (d *drainRate) clear(n int) time.Duration { return millis(d.gap * float64(n)) }
