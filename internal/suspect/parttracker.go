package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// PartTracker finds the parts of prompts that crash endpoints, whatever else a request holds. It
// counts, for each part and kind of endpoint, the crashes since the last answer to a request with
// the part; and those since the last answer at any software version, so that a part which crashes
// all of them needs no more crashes than with one version. Of the parts of one run only the last
// one that reaches its bound is refused: the first ones are shared by the most prompts.
//
// It does no I/O and is not safe for concurrent use.
type PartTracker struct {
	limits   Limits
	records  map[partPlace]*versionRecords
	count    int // of records
	revision uint64
}

// versionRecords are the records of a part, one for each software version, and what they have in
// common.
type versionRecords struct {
	list     []*partRecord
	combined crashCounter // of all versions together; only its crashes and answers are used
}

// partPlace is a part at the endpoints of a service and stage, of any software version.
type partPlace struct {
	service, stage string
	part           fleet.PromptPart
}

func (k PartKey) place() partPlace {
	return partPlace{service: k.Service, stage: k.Stage, part: k.Part}
}

type partRecord struct {
	crashCounter
	revision uint64 // of its latest change
	shared   bool   // once it should be known to others, its later changes should be as well
}

// NewPartTracker returns an empty table.
func NewPartTracker(limits Limits) *PartTracker {
	return &PartTracker{limits: limits, records: map[partPlace]*versionRecords{}}
}

// Len returns the number of parts at kinds of endpoints that have a finding.
func (t *PartTracker) Len() int { return t.count }

// Revision returns the number of changes so far.
func (t *PartTracker) Revision() uint64 { return t.revision }

// Find returns a finding, with the key alone if there is none.
func (t *PartTracker) Find(key PartKey) PartFinding {
	if r := t.find(key); r != nil {
		return r.PartFinding
	}
	return PartFinding{Key: key}
}

func (t *PartTracker) find(key PartKey) *partRecord {
	for _, r := range t.versions(key.place()) {
		if r.Key == key {
			return r
		}
	}
	return nil
}

func (t *PartTracker) versions(place partPlace) []*partRecord {
	if records := t.records[place]; records != nil {
		return records.list
	}
	return nil
}

// combined returns the crashes under a part at all versions together.
func (t *PartTracker) combined(place partPlace) PartFinding {
	if records := t.records[place]; records != nil {
		return records.combined.PartFinding
	}
	return PartFinding{}
}

// RecordLoss records a run that ended with its endpoint. It returns the part that is refused from
// now on; ok is false if none is.
//
// A run with a part that is refused already is held against that part alone.
func (t *PartTracker) RecordLoss(now time.Time, loss PartLoss) (refused PartFinding, ok bool) {
	if t.recordRefusedLoss(loss) {
		return PartFinding{}, false
	}
	var last *partRecord
	for _, lost := range loss.Parts {
		r := t.getOrCreate(now, PartKey{EndpointKind: loss.EndpointKind, Part: lost.Part})
		r.Answered = r.Answered || lost.Answered
		t.records[r.Key.place()].countCrash(t.limits.TTL, loss, lost)
		if !r.countCrash(loss) {
			continue
		}
		t.bumpRevision(r)
		if t.isOverBound(r) {
			last = r
		}
	}
	if last == nil {
		return PartFinding{}, false
	}
	t.holdBackOthers(loss, last)
	t.refuse(last, loss.Ended)
	return last.PartFinding, true
}

// countCrash counts a crash for all versions together.
func (v *versionRecords) countCrash(ttl time.Duration, loss PartLoss, lost LostPart) {
	if loss.Ended.Sub(v.combined.updated()) >= ttl {
		v.combined = crashCounter{}
	}
	v.combined.Answered = v.combined.Answered || lost.Answered
	v.combined.countCrash(loss)
}

// refuse refuses a part, and at once at the other versions that it has crashed as often as would be
// enough now.
func (t *PartTracker) refuse(r *partRecord, at time.Time) {
	r.RefusedAt = at
	t.bumpRevision(r)
	for _, other := range t.versions(r.Key.place()) {
		if other.Crashes > 0 && !other.IsRefused() && t.isOverBound(other) {
			other.RefusedAt = at
			t.bumpRevision(other)
		}
	}
}

// recordRefusedLoss records a loss of a run with a part that is refused, and reports whether it
// has one.
func (t *PartTracker) recordRefusedLoss(loss PartLoss) bool {
	found := false
	for _, lost := range loss.Parts {
		r := t.find(PartKey{EndpointKind: loss.EndpointKind, Part: lost.Part})
		if r == nil || !r.IsRefused() {
			continue
		}
		found = true
		if r.failTrial(loss) {
			t.bumpRevision(r)
		}
	}
	return found
}

// holdBackOthers keeps the other parts of a run below their bounds: the refused part may have
// caused the crashes that count against them.
func (t *PartTracker) holdBackOthers(loss PartLoss, refused *partRecord) {
	for _, lost := range loss.Parts {
		r := t.find(PartKey{EndpointKind: loss.EndpointKind, Part: lost.Part})
		if r == nil || r == refused {
			continue
		}
		r.holdBack()
		t.records[r.Key.place()].combined.holdBack()
	}
}

func (t *PartTracker) isOverBound(r *partRecord) bool {
	combined := t.combined(r.Key.place())
	return r.Crashes >= r.bound(t.refusedVersions(r.Key.place()) > 0) || combined.Crashes >= combined.bound(false)
}

// refusedVersions counts the software versions at which a part is refused.
func (t *PartTracker) refusedVersions(place partPlace) int {
	count := 0
	for _, r := range t.versions(place) {
		if r.IsRefused() {
			count++
		}
	}
	return count
}

// RecordAnswer records that an endpoint has answered a request with some parts. It returns
// those of which that changes the finding.
func (t *PartTracker) RecordAnswer(now time.Time, kind EndpointKind, parts []fleet.PromptPart) []fleet.PromptPart {
	var changed []fleet.PromptPart
	for _, part := range parts {
		key := PartKey{EndpointKind: kind, Part: part}
		if records := t.records[key.place()]; records != nil {
			records.combined.clear(now)
		}
		r := t.find(key)
		if r == nil || r.Crashes == 0 && !r.IsRefused() && r.TriedAt.IsZero() {
			continue
		}
		r.clear(now)
		t.bumpRevision(r)
		changed = append(changed, part)
	}
	return changed
}

// RecordTrial records that one request with a part is sent although others are refused.
func (t *PartTracker) RecordTrial(now time.Time, key PartKey) {
	r := t.getOrCreate(now, key)
	r.TriedAt = now
	t.bumpRevision(r)
}

// Merge records a finding of another process, and reports whether that changed the table.
func (t *PartTracker) Merge(now time.Time, f PartFinding) bool {
	if t.isExpired(now, f) {
		return false
	}
	r := t.getOrCreate(now, f.Key)
	before := r.PartFinding
	r.merge(f)
	if r.PartFinding == before {
		return false
	}
	t.bumpRevision(r)
	return true
}

// SharedSince returns the findings that should be shared with other processes and that have
// changed after a revision, in the order of their changes. When an endpoint crashes, each part of
// what ran there has one crash, which is too many findings to share.
func (t *PartTracker) SharedSince(revision uint64) []PartFinding {
	var changed []*partRecord
	for _, records := range t.records {
		for _, r := range records.list {
			if r.revision > revision && r.shared {
				changed = append(changed, r)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *partRecord) int { return cmp.Compare(a.revision, b.revision) })
	list := make([]PartFinding, 0, len(changed))
	for _, r := range changed {
		list = append(list, r.PartFinding)
	}
	return list
}

// Sweep removes expired findings.
func (t *PartTracker) Sweep(now time.Time) {
	for place := range t.records {
		t.removeFrom(place, func(r *partRecord) bool { return t.isExpired(now, r.PartFinding) })
	}
}

// removeFrom removes records of a part.
func (t *PartTracker) removeFrom(place partPlace, removed func(r *partRecord) bool) {
	records := t.records[place]
	before := len(records.list)
	records.list = slices.DeleteFunc(records.list, removed)
	t.count -= before - len(records.list)
	if len(records.list) == 0 {
		delete(t.records, place)
	}
}

// refusedTTL is how long a part stays refused without a request that is a trial.
const refusedTTL = 24 * time.Hour

func (t *PartTracker) isExpired(now time.Time, f PartFinding) bool {
	ttl := t.limits.TTL
	switch {
	case f.IsRefused():
		ttl = refusedTTL
	case f.Crashes == 0:
		ttl = ProvenTTL
	}
	return now.Sub(f.updated()) >= ttl
}

// getOrCreate returns the record of a part. It creates one if there is none, or if the old one
// has expired.
func (t *PartTracker) getOrCreate(now time.Time, key PartKey) *partRecord {
	if r := t.find(key); r != nil {
		if t.isExpired(now, r.PartFinding) {
			*r = partRecord{crashCounter: crashCounter{PartFinding: PartFinding{Key: key}}}
		}
		return r
	}
	t.evictIfFull()
	r := &partRecord{crashCounter: crashCounter{PartFinding: PartFinding{Key: key}}}
	records := t.records[key.place()]
	if records == nil {
		records = &versionRecords{}
		t.records[key.place()] = records
	}
	records.list = append(records.list, r)
	t.count++
	return r
}

func (t *PartTracker) bumpRevision(r *partRecord) {
	t.revision++
	r.revision = t.revision
	r.shared = r.shared || r.Crashes >= maxCrashes-1 || r.IsRefused() || !r.TriedAt.IsZero()
}

// evictIfFull evicts records if the table is full: those with the lowest rank first, among
// these the oldest first.
func (t *PartTracker) evictIfFull() {
	if t.count < t.limits.MaxTracked {
		return
	}
	all := make([]*partRecord, 0, t.count)
	for _, records := range t.records {
		all = append(all, records.list...)
	}
	slices.SortFunc(all, func(a, b *partRecord) int {
		return cmp.Or(cmp.Compare(a.evictionRank(), b.evictionRank()), a.updated().Compare(b.updated()))
	})
	for _, r := range all[:len(all)-int(evictionKeepFraction*float64(t.limits.MaxTracked))] {
		t.removeFrom(r.Key.place(), func(other *partRecord) bool { return other == r })
	}
}

// evictionRank is the higher, the more crashes would have to come again if a record were lost.
func (r *partRecord) evictionRank() int {
	if r.IsRefused() {
		return maxCrashesAnswered + r.FailedTrials
	}
	return r.Crashes
}
