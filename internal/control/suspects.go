package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// crashKey names one death of an endpoint process.
type crashKey struct {
	endpoint    string
	incarnation uint64
}

// suspects holds the fingerprints that ran on endpoints which died, and the
// reports seen, so that a repeated report counts once.
type suspects struct {
	records map[fleet.Fingerprint]*pb.SuspectRecord
	crashes map[crashKey]*pb.CrashRecord
	order   []*pb.CrashRecord // oldest first
}

func newSuspects() *suspects {
	return &suspects{
		records: make(map[fleet.Fingerprint]*pb.SuspectRecord),
		crashes: make(map[crashKey]*pb.CrashRecord),
	}
}

// applyCrash counts a death against what ran there. A fingerprint is put in
// quarantine when it was alone at its second death, when it is the only one
// at this death that was at another before, or at its third death.
func (m *Machine) applyCrash(index uint64, c *pb.ReportCrash) string {
	if !validName(c.GetEndpointId()) || len(c.GetFingerprints()) > maxFingerprints {
		return refusalMalformed
	}
	for _, f := range c.Fingerprints {
		if len(f) != fingerprintBytes {
			return refusalMalformed
		}
	}
	m.delta.Suspects = append(m.delta.Suspects, m.suspects.report(index, c, m.clock)...)
	return ""
}

func (s *suspects) report(index uint64, c *pb.ReportCrash, clock int64) []*pb.SuspectRecord {
	known := s.remember(index, c)
	var hit []fleet.Fingerprint
	for _, raw := range c.Fingerprints {
		f, ok := fleet.FingerprintFromBytes(raw)
		if !ok || known[f] {
			continue
		}
		known[f] = true
		hit = append(hit, f)
	}
	repeated := s.repeated(hit)
	var changed []*pb.SuspectRecord
	for _, f := range hit {
		next := s.blame(f, clock, len(repeated) == 1 && repeated[0] == f)
		s.records[f] = next
		changed = append(changed, next)
	}
	return append(changed, s.bound()...)
}

// remember notes the report and gives the fingerprints that earlier reports of
// the same death named.
func (s *suspects) remember(index uint64, c *pb.ReportCrash) map[fleet.Fingerprint]bool {
	known := make(map[fleet.Fingerprint]bool)
	key := crashKey{c.EndpointId, c.EndpointIncarnation}
	record := &pb.CrashRecord{
		EndpointId:          c.EndpointId,
		EndpointIncarnation: c.EndpointIncarnation,
		Index:               index,
	}
	if earlier := s.crashes[key]; earlier != nil {
		for _, raw := range earlier.Fingerprints {
			if f, ok := fleet.FingerprintFromBytes(raw); ok {
				known[f] = true
			}
		}
		record.Fingerprints = append(record.Fingerprints, earlier.Fingerprints...)
		s.forget(earlier)
	}
	for _, raw := range c.Fingerprints {
		f, ok := fleet.FingerprintFromBytes(raw)
		if ok && !known[f] && len(record.Fingerprints) < maxFingerprints {
			record.Fingerprints = append(record.Fingerprints, raw)
		}
	}
	s.crashes[key] = record
	s.order = append(s.order, record)
	if len(s.order) > maxCrashes {
		delete(s.crashes, crashKey{s.order[0].EndpointId, s.order[0].EndpointIncarnation})
		s.order = s.order[1:]
	}
	return known
}

func (s *suspects) forget(r *pb.CrashRecord) {
	for n, o := range s.order {
		if o == r {
			s.order = append(s.order[:n:n], s.order[n+1:]...)
			return
		}
	}
}

// repeated gives those of hit that were at a death before.
func (s *suspects) repeated(hit []fleet.Fingerprint) []fleet.Fingerprint {
	var found []fleet.Fingerprint
	for _, f := range hit {
		if s.records[f].GetCrashes() > 0 {
			found = append(found, f)
		}
	}
	return found
}

func (s *suspects) blame(f fleet.Fingerprint, clock int64, onlyRepeated bool) *pb.SuspectRecord {
	old := s.records[f]
	crashes := old.GetCrashes() + 1
	return &pb.SuspectRecord{
		Fingerprint:   f[:],
		Crashes:       crashes,
		Quarantined:   old.GetQuarantined() || onlyRepeated || crashes >= quarantineAfter,
		UpdatedUnixMs: clock,
	}
}

// expire drops suspects not reported for life, and those reported under a
// clock that was further ahead than that; life 0 keeps them.
func (s *suspects) expire(clock, life int64) []*pb.SuspectRecord {
	if life <= 0 {
		return nil
	}
	return s.drop(func(r *pb.SuspectRecord) bool {
		age := clock - r.UpdatedUnixMs
		return age > life || age < -life
	})
}

// bound drops the longest unreported suspects above the limit.
func (s *suspects) bound() []*pb.SuspectRecord {
	if len(s.records) <= maxSuspects {
		return nil
	}
	sorted := s.sorted()
	sort.SliceStable(sorted, func(a, b int) bool { return sorted[a].UpdatedUnixMs < sorted[b].UpdatedUnixMs })
	excess := make(map[*pb.SuspectRecord]bool)
	for _, r := range sorted[:len(sorted)-maxSuspects] {
		excess[r] = true
	}
	return s.drop(func(r *pb.SuspectRecord) bool { return excess[r] })
}

func (s *suspects) drop(match func(*pb.SuspectRecord) bool) []*pb.SuspectRecord {
	var removed []*pb.SuspectRecord
	for f, r := range s.records {
		if match(r) {
			delete(s.records, f)
			removed = append(removed, &pb.SuspectRecord{Fingerprint: r.Fingerprint})
		}
	}
	sortSuspects(removed)
	return removed
}

func (s *suspects) sorted() []*pb.SuspectRecord {
	all := make([]*pb.SuspectRecord, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	sortSuspects(all)
	return all
}

func sortSuspects(records []*pb.SuspectRecord) {
	sort.Slice(records, func(a, b int) bool {
		return string(records[a].Fingerprint) < string(records[b].Fingerprint)
	})
}
