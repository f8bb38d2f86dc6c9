package endpoint

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// record is what a home knows of one endpoint incarnation.
type record struct {
	announced              engineapi.Announcement
	lastContact            time.Time // arrival of the last announcement or heartbeat
	hasHeldList            bool      // a held list has arrived since the last reset
	heldListAt             time.Time // arrival of the last held list
	heartbeatSequence      uint64    // of the last heartbeat
	firstHeartbeatSequence uint64    // of the first heartbeat since this instance is its home
	lastGapAt              time.Time // arrival of the last heartbeat whose number wasn't the next
	missedView             bool      // a view was missed: another home may have granted
	knowsAllGrants         bool      // this home knows all outstanding grants
	noGrantsBefore         time.Time // see viewHistory
	leaving                bool
	unreachable            bool // the lease expired or a probe failed
	holds                  map[holdKey]*hold
	releasedAt             map[holdKey]time.Time
	failedFingerprints     map[fleet.Fingerprint]time.Time // ended by ENDPOINT_FAILED since the last heartbeat
	queue                  *fairQueue
	rateLimit              rateLimit
	load                   engineapi.Load
	loadAt                 time.Time // the time that load describes
	cache                  cacheIndex
	cacheVersion           uint64 // the home's cacheVersion at the last change
	releaseRate            releaseRate
	lastPrefillEnd         time.Time
	home                   fleet.Instance // by the view numbered homeView
	homeKnown              bool
	homeView               uint64
	probedAt               time.Time
	crashReportAt          time.Time // when to report the crash; zero: none to report
}

func newRecord(now time.Time, a engineapi.Announcement, noGrantsBefore time.Time) *record {
	return &record{
		announced:          a,
		lastContact:        now,
		noGrantsBefore:     noGrantsBefore,
		holds:              make(map[holdKey]*hold),
		releasedAt:         make(map[holdKey]time.Time),
		failedFingerprints: make(map[fleet.Fingerprint]time.Time),
		queue:              newFairQueue(maxQueue),
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

// used counts the slots that are taken, by this home's grants and by other
// holds that the endpoint reports. A pending hold counts once it has its slot.
func (r *record) used() int {
	n := 0
	for _, h := range r.holds {
		if h.state != holdPending {
			n++
		}
	}
	return n
}

// pending returns the pending holds, oldest first.
func (r *record) pending() []*hold {
	var list []*hold
	for _, h := range r.holds {
		if h.state == holdPending {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *hold) int { return a.grantedAt.Compare(b.grantedAt) })
	return list
}

// runsOtherSuspect reports whether the endpoint runs another suspect than
// attempt, or a hold of which this home doesn't know whether it is a suspect.
//
// The attempt's own hold doesn't count: at an endpoint of both roles a suspect
// gets its decode slot before its prefill, and would wait for itself until its
// deadline.
func (r *record) runsOtherSuspect(attempt fleet.AttemptID) bool {
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

// byAttempt returns the attempt's holds of any kind.
func (r *record) byAttempt(attempt fleet.AttemptID) []*hold {
	var list []*hold
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode, fleet.RolePlain} {
		if h, ok := r.holds[holdKey{attempt, kind}]; ok {
			list = append(list, h)
		}
	}
	return list
}

// releaseRate measures how often slots are released.
type releaseRate struct {
	lastRelease time.Time
	intervalMs  float64 // between releases, smoothed
}

const releaseIntervalGain = 0.2

func (r *releaseRate) released(now time.Time) {
	if !r.lastRelease.IsZero() {
		interval := float64(now.Sub(r.lastRelease)) / float64(time.Millisecond)
		if r.intervalMs == 0 {
			r.intervalMs = interval
		}
		r.intervalMs += releaseIntervalGain * (interval - r.intervalMs)
	}
	r.lastRelease = now
}

// timeFor returns the time in which n slots are released; 0: unknown.
func (r *releaseRate) timeFor(n int) time.Duration { return millis(r.intervalMs * float64(n)) }
