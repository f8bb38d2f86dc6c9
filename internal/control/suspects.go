package control

import (
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// crashKey identifies one crash of an endpoint process.
type crashKey struct {
	endpoint    string
	incarnation uint64
}

// suspects keeps the fingerprints of requests that ran on endpoints that crashed,
// and the reports received, so that a repeated report counts once. Package
// suspect has the rules.
type suspects struct {
	records    map[fleet.Fingerprint]fleet.Suspect
	crashes    map[crashKey]*pb.CrashRecord
	crashOrder []*pb.CrashRecord // oldest first
}

func newSuspects() *suspects {
	return &suspects{
		records: make(map[fleet.Fingerprint]fleet.Suspect),
		crashes: make(map[crashKey]*pb.CrashRecord),
	}
}

// applyCrash counts a crash against the requests that ran on the endpoint.
func (m *Machine) applyCrash(index uint64, c *pb.ReportCrash) string {
	if !validName(c.GetEndpointId()) || len(c.GetFingerprints()) > maxFingerprints {
		return refusalMalformed
	}
	for _, f := range c.Fingerprints {
		if len(f) != fingerprintBytes {
			return refusalMalformed
		}
	}
	limits := suspect.Limits{TTL: time.Duration(m.suspectLifeMs()) * time.Millisecond, MaxTracked: maxSuspects}
	m.delta.Suspects = append(m.delta.Suspects, m.suspects.applyReport(index, c, m.clockUnixMs, limits)...)
	return ""
}

// suspectLifeMs returns how long a suspect is kept after its last crash.
func (m *Machine) suspectLifeMs() int64 {
	life := m.tree.Fleet.Timeouts.QuarantineLife
	if life <= 0 {
		life = suspect.DefaultLimits.TTL
	}
	return life.Milliseconds()
}

// applyReport applies what is new in a report and returns the changed records. A
// crash may be reported twice, or in parts by two homes of its endpoint.
// Fingerprints of an earlier part are not counted again; if an earlier part
// contained a suspect of several crashes, later parts add nothing.
func (s *suspects) applyReport(index uint64, c *pb.ReportCrash, clock int64, limits suspect.Limits) []*pb.SuspectRecord {
	earlier := s.recordCrash(index, c)
	part := &pb.ReportCrash{EndpointId: c.EndpointId, EndpointIncarnation: c.EndpointIncarnation}
	for _, raw := range c.Fingerprints {
		if f, ok := fleet.FingerprintFromBytes(raw); ok && !earlier[f] {
			part.Fingerprints = append(part.Fingerprints, raw)
		}
	}
	if len(part.Fingerprints) == 0 || s.hasRepeatSuspect(earlier) {
		return nil
	}
	changed := suspect.Apply(s.records, part, time.UnixMilli(clock), limits)
	records := make([]*pb.SuspectRecord, 0, len(changed))
	for _, next := range changed {
		s.set(next)
		records = append(records, suspectProto(next))
	}
	return records
}

// hasRepeatSuspect reports whether one of the fingerprints was present at more
// than one crash.
func (s *suspects) hasRepeatSuspect(earlier map[fleet.Fingerprint]bool) bool {
	for f := range earlier {
		if s.records[f].Crashes >= suspect.SoleSuspectCrashes {
			return true
		}
	}
	return false
}

func (s *suspects) set(next fleet.Suspect) {
	if next.Crashes == 0 {
		delete(s.records, next.Fingerprint)
		return
	}
	s.records[next.Fingerprint] = next
}

// recordCrash records the report and returns the fingerprints that earlier
// reports of the same crash contained.
func (s *suspects) recordCrash(index uint64, c *pb.ReportCrash) map[fleet.Fingerprint]bool {
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
		s.removeCrash(earlier)
	}
	for _, raw := range c.Fingerprints {
		f, ok := fleet.FingerprintFromBytes(raw)
		if ok && !known[f] && len(record.Fingerprints) < maxFingerprints {
			record.Fingerprints = append(record.Fingerprints, raw)
		}
	}
	s.crashes[key] = record
	s.crashOrder = append(s.crashOrder, record)
	if len(s.crashOrder) > maxCrashes {
		delete(s.crashes, crashKey{s.crashOrder[0].EndpointId, s.crashOrder[0].EndpointIncarnation})
		s.crashOrder = s.crashOrder[1:]
	}
	return known
}

func (s *suspects) removeCrash(r *pb.CrashRecord) {
	for n, o := range s.crashOrder {
		if o == r {
			s.crashOrder = append(s.crashOrder[:n:n], s.crashOrder[n+1:]...)
			return
		}
	}
}

// expire removes suspects not reported for life, in ms, and those reported under
// a clock that was further ahead than that. It returns their removals.
func (s *suspects) expire(clock, life int64) []*pb.SuspectRecord {
	var removed []*pb.SuspectRecord
	for f, r := range s.records {
		if age := clock - r.Updated.UnixMilli(); age > life || age < -life {
			delete(s.records, f)
			removed = append(removed, suspectProto(fleet.Suspect{Fingerprint: f}))
		}
	}
	sortSuspects(removed)
	return removed
}

func (s *suspects) hasExpired(clock, life int64) bool {
	for _, r := range s.records {
		if clock-r.Updated.UnixMilli() > life {
			return true
		}
	}
	return false
}

func (s *suspects) sorted() []*pb.SuspectRecord {
	all := make([]*pb.SuspectRecord, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, suspectProto(r))
	}
	sortSuspects(all)
	return all
}

// suspectProto encodes a suspect, or its removal when it has no crashes.
func suspectProto(s fleet.Suspect) *pb.SuspectRecord {
	if s.Crashes == 0 {
		return &pb.SuspectRecord{Fingerprint: s.Fingerprint[:]}
	}
	return &pb.SuspectRecord{
		Fingerprint:   s.Fingerprint[:],
		Crashes:       uint32(s.Crashes),
		Quarantined:   s.Quarantined,
		UpdatedUnixMs: s.Updated.UnixMilli(),
	}
}

func suspectFromProto(r *pb.SuspectRecord) (fleet.Suspect, bool) {
	f, ok := fleet.FingerprintFromBytes(r.GetFingerprint())
	return fleet.Suspect{
		Fingerprint: f,
		Crashes:     int(r.GetCrashes()),
		Quarantined: r.GetQuarantined(),
		Updated:     time.UnixMilli(r.GetUpdatedUnixMs()),
	}, ok && r.GetCrashes() > 0
}

func sortSuspects(records []*pb.SuspectRecord) {
	sort.Slice(records, func(a, b int) bool {
		return string(records[a].Fingerprint) < string(records[b].Fingerprint)
	})
}
