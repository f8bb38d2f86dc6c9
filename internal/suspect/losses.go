package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

const (
	// ProvenLife is how long an answer vouches for a request.
	ProvenLife = 10 * time.Minute
	// sharedWeight is from which weight on a finding is told to others: that of two crashes.
	// When an endpoint dies all that ran there has one, which is too much to tell everybody.
	sharedWeight = (CompanyCrashes - 1) * crashWeight
	// keptShare is the part of Limits.Most that is left after an eviction.
	keptShare = 0.75
)

// Losses finds the requests that crash endpoints where nobody knows all that ran on an
// endpoint when it died: by the losses of each request that came one after another.
//
// Losses of runs beside each other count as one. A request that many callers send is at many
// endpoints, and of those that die at once it would else be found to have crashed each.
//
// It is pure and not safe for concurrent use.
type Losses struct {
	limits   Limits
	records  map[fleet.Fingerprint]*lossRecord
	revision uint64
}

type lossRecord struct {
	Finding
	revision uint64 // of its newest change
	exchange string // whose loss was counted last
	counted  uint64 // losses of that exchange, by lossBit
}

// NewLosses makes an empty table.
func NewLosses(limits Limits) *Losses {
	return &Losses{limits: limits, records: map[fleet.Fingerprint]*lossRecord{}}
}

// Len is the number of requests of which something is known.
func (l *Losses) Len() int { return len(l.records) }

// Revision grows with each change.
func (l *Losses) Revision() uint64 { return l.revision }

// Lost takes in a loss, which may have been some time ago, and gives what is known then.
func (l *Losses) Lost(now time.Time, loss Loss) Finding {
	r := l.record(now, loss.Fingerprint)
	if !r.Proven && r.follows(loss) {
		r.Weight += loss.weight()
		if loss.Ended.After(r.At) {
			r.At = loss.Ended
		}
		r.count(loss)
		l.changed(r)
	}
	return r.Finding
}

// follows tells whether a loss comes after the one that was counted last: it is another one
// of the same exchange, of a run that began after it, or of an exchange that has gone on
// after another loss. A report that comes twice counts once.
func (r *lossRecord) follows(loss Loss) bool {
	if r.exchange == loss.Exchange {
		return r.counted&lossBit(loss) == 0
	}
	return r.Weight == 0 || loss.Nth > 1 || !loss.Sent.Before(r.At)
}

func (r *lossRecord) count(loss Loss) {
	if r.exchange != loss.Exchange {
		r.exchange, r.counted = loss.Exchange, 0
	}
	r.counted |= lossBit(loss)
}

// lossBit names a loss among those of its exchange, which are a few.
func lossBit(loss Loss) uint64 { return 1 << (loss.Nth % 64) }

// Answered takes in that an endpoint has run a request and answered it. It tells whether
// that is news.
func (l *Losses) Answered(now time.Time, f fleet.Fingerprint) bool {
	r := l.records[f]
	if r == nil || r.Proven {
		return false
	}
	r.Proven = true
	r.At = now
	l.changed(r)
	return true
}

// Told takes in what another process knows, and tells whether that is news.
func (l *Losses) Told(now time.Time, f Finding) bool {
	if f.Weight < 1 || now.Sub(f.At) >= l.limits.Life {
		return false
	}
	r := l.record(now, f.Fingerprint)
	if r.Proven || !f.Proven && f.Weight <= r.Weight {
		return false
	}
	r.Weight = max(r.Weight, f.Weight)
	r.Proven = f.Proven
	r.At = f.At
	l.changed(r)
	return true
}

// Find gives what is known of a request; the zero Finding for nothing.
func (l *Losses) Find(f fleet.Fingerprint) Finding {
	if r := l.records[f]; r != nil {
		return r.Finding
	}
	return Finding{}
}

// Shared lists the findings that others should know and that have changed after a revision,
// in the order of their changes.
func (l *Losses) Shared(after uint64) []Finding {
	var changed []*lossRecord
	for _, r := range l.records {
		if r.revision > after && r.Weight >= sharedWeight {
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

// Sweep forgets what is over.
func (l *Losses) Sweep(now time.Time) {
	for f, r := range l.records {
		if l.isOver(now, r) {
			delete(l.records, f)
		}
	}
}

func (l *Losses) isOver(now time.Time, r *lossRecord) bool {
	life := l.limits.Life
	if r.Proven {
		life = ProvenLife
	}
	return now.Sub(r.At) >= life
}

// record gives that of a request, a new one where it has none or the old one is over.
func (l *Losses) record(now time.Time, f fleet.Fingerprint) *lossRecord {
	r := l.records[f]
	if r == nil || l.isOver(now, r) {
		l.makeRoom()
		r = &lossRecord{Finding: Finding{Fingerprint: f}}
		l.records[f] = r
	}
	return r
}

func (l *Losses) changed(r *lossRecord) {
	l.revision++
	r.revision = l.revision
}

// makeRoom keeps the table within its bound: those of the least weight go first, the oldest of
// them before others.
func (l *Losses) makeRoom() {
	if len(l.records) < l.limits.Most {
		return
	}
	all := make([]*lossRecord, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *lossRecord) int {
		return cmp.Or(cmp.Compare(a.worth(), b.worth()), a.At.Compare(b.At))
	})
	for _, r := range all[:len(all)-int(keptShare*float64(l.limits.Most))] {
		delete(l.records, r.Fingerprint)
	}
}

// worth orders records by how much is lost with them.
func (r *lossRecord) worth() int {
	if r.Proven {
		return 0
	}
	return r.Weight
}
