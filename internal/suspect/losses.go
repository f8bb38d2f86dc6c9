package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

const (
	// ProvenTTL is how long an answer proves that a request is harmless.
	ProvenTTL = 10 * time.Minute
	// minSharedWeight is the weight from which a finding is shared with other processes: that
	// of one crash less than a quarantine takes. When an endpoint dies, every request that ran
	// there has the weight of one crash, which is too many findings to share.
	minSharedWeight = (MultiSuspectCrashes - 1) * crashWeight
	// evictionKeepFraction is the fraction of Limits.MaxTracked that an eviction leaves.
	evictionKeepFraction = 0.75
)

// LossTracker finds the requests that crash endpoints where no process knows every request that
// ran on an endpoint when it died. It counts the consecutive losses of each request.
//
// Losses of concurrent runs count as one. A request that many callers send runs on many
// endpoints; if several of these died at once, it would otherwise be blamed for each death.
//
// It does no I/O and is not safe for concurrent use.
type LossTracker struct {
	limits   Limits
	records  map[fleet.Fingerprint]*lossRecord
	revision uint64
}

type lossRecord struct {
	Finding
	revision      uint64 // of its latest change
	lastExchange  string // exchange whose loss was counted last
	countedLosses uint64 // bit set of the counted losses of lastExchange, see lossBit
}

// NewLossTracker returns an empty table.
func NewLossTracker(limits Limits) *LossTracker {
	return &LossTracker{limits: limits, records: map[fleet.Fingerprint]*lossRecord{}}
}

// Len returns the number of requests that have a finding.
func (l *LossTracker) Len() int { return len(l.records) }

// Revision returns the number of changes so far.
func (l *LossTracker) Revision() uint64 { return l.revision }

// RecordLoss records a loss, which may have happened some time ago, and returns the resulting
// finding.
func (l *LossTracker) RecordLoss(now time.Time, loss Loss) Finding {
	r := l.getOrCreate(now, loss.Fingerprint)
	if !r.Proven && r.isConsecutive(loss) {
		r.Weight += loss.weight()
		if loss.Ended.After(r.Updated) {
			r.Updated = loss.Ended
		}
		r.markCounted(loss)
		l.bumpRevision(r)
	}
	return r.Finding
}

// isConsecutive reports whether a loss counts in addition to those counted so far: it is a new
// loss of the same exchange, its run began after the latest counted loss, or its exchange
// has had an earlier loss and was retried. A report that is received twice counts once.
func (r *lossRecord) isConsecutive(loss Loss) bool {
	if r.lastExchange == loss.Exchange {
		return r.countedLosses&lossBit(loss) == 0
	}
	return r.Weight == 0 || loss.Sequence > 1 || !loss.Sent.Before(r.Updated)
}

// markCounted records that a loss has been counted.
func (r *lossRecord) markCounted(loss Loss) {
	if r.lastExchange != loss.Exchange {
		r.lastExchange, r.countedLosses = loss.Exchange, 0
	}
	r.countedLosses |= lossBit(loss)
}

// lossBit returns the bit of a loss among those of its exchange, which has few of them.
func lossBit(loss Loss) uint64 { return 1 << (loss.Sequence % 64) }

// RecordAnswer records that an endpoint has run a request and answered it. It reports whether this
// changed the table.
func (l *LossTracker) RecordAnswer(now time.Time, f fleet.Fingerprint) bool {
	r := l.records[f]
	if r == nil || r.Proven {
		return false
	}
	r.Proven = true
	r.Updated = now
	l.bumpRevision(r)
	return true
}

// Merge records a finding of another process, and reports whether this changed the table.
func (l *LossTracker) Merge(now time.Time, f Finding) bool {
	if f.Weight < 1 || now.Sub(f.Updated) >= l.limits.TTL {
		return false
	}
	r := l.getOrCreate(now, f.Fingerprint)
	if r.Proven || !f.Proven && f.Weight <= r.Weight {
		return false
	}
	r.Weight = max(r.Weight, f.Weight)
	r.Proven = f.Proven
	r.Updated = f.Updated
	l.bumpRevision(r)
	return true
}

// Find returns the finding on a request, or the zero Finding if there is none.
func (l *LossTracker) Find(f fleet.Fingerprint) Finding {
	if r := l.records[f]; r != nil {
		return r.Finding
	}
	return Finding{}
}

// SharedSince returns the findings that should be shared with other processes and that have
// changed after a revision, in the order of their changes.
func (l *LossTracker) SharedSince(revision uint64) []Finding {
	var changed []*lossRecord
	for _, r := range l.records {
		if r.revision > revision && r.Weight >= minSharedWeight {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *lossRecord) int { return cmp.Compare(a.revision, b.revision) })
	list := make([]Finding, 0, len(changed))
	for _, r := range changed {
		list = append(list, r.Finding)
	}
	return list
}

// Sweep removes expired findings.
func (l *LossTracker) Sweep(now time.Time) {
	for f, r := range l.records {
		if l.isExpired(now, r) {
			delete(l.records, f)
		}
	}
}

func (l *LossTracker) isExpired(now time.Time, r *lossRecord) bool {
	ttl := l.limits.TTL
	if r.Proven {
		ttl = ProvenTTL
	}
	return now.Sub(r.Updated) >= ttl
}

// getOrCreate returns the record of a request. It creates one if there is none, or if the old
// one has expired.
func (l *LossTracker) getOrCreate(now time.Time, f fleet.Fingerprint) *lossRecord {
	r := l.records[f]
	if r == nil || l.isExpired(now, r) {
		l.evictIfFull()
		r = &lossRecord{Finding: Finding{Fingerprint: f}}
		l.records[f] = r
	}
	return r
}

// bumpRevision marks a record as changed.
func (l *LossTracker) bumpRevision(r *lossRecord) {
	l.revision++
	r.revision = l.revision
}

// evictIfFull evicts records if the table is full: those with the lowest rank first, among
// these the oldest first.
func (l *LossTracker) evictIfFull() {
	if len(l.records) < l.limits.MaxTracked {
		return
	}
	all := make([]*lossRecord, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *lossRecord) int {
		return cmp.Or(cmp.Compare(a.evictionRank(), b.evictionRank()), a.Updated.Compare(b.Updated))
	})
	for _, r := range all[:len(all)-int(evictionKeepFraction*float64(l.limits.MaxTracked))] {
		delete(l.records, r.Fingerprint)
	}
}

// evictionRank returns the weight that is lost with a record; records with a low rank are
// evicted first.
func (r *lossRecord) evictionRank() int {
	if r.Proven {
		return 0
	}
	return r.Weight
}
