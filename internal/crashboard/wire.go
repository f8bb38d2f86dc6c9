package crashboard

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

func lossToWire(now time.Time, l suspect.Loss) *pb.RunLoss {
	return &pb.RunLoss{Fingerprint: l.Fingerprint[:], SentUs: ageOf(now, l.Sent), EndedUs: ageOf(now, l.Ended), Exchange: l.Exchange, Nth: uint32(l.Sequence), Outlived: l.EndpointSurvived}
}

func lossFromWire(now time.Time, l *pb.RunLoss) (loss suspect.Loss, ok bool) {
	f, ok := fleet.FingerprintFromBytes(l.Fingerprint)
	return suspect.Loss{Fingerprint: f, Sent: timeBefore(now, l.SentUs), Ended: timeBefore(now, l.EndedUs), Exchange: l.Exchange, Sequence: int(l.Nth), EndpointSurvived: l.Outlived}, ok
}

func findingsToWire(now time.Time, list []suspect.Finding) []*pb.CrashFinding {
	wire := make([]*pb.CrashFinding, 0, len(list))
	for _, f := range list {
		wire = append(wire, &pb.CrashFinding{Fingerprint: f.Fingerprint[:], Weight: uint32(f.Weight), Proven: f.Proven, AgeUs: ageOf(now, f.Updated)})
	}
	return wire
}

func findingFromWire(now time.Time, f *pb.CrashFinding) (finding suspect.Finding, ok bool) {
	fingerprint, ok := fleet.FingerprintFromBytes(f.Fingerprint)
	return suspect.Finding{Fingerprint: fingerprint, Weight: int(f.Weight), Proven: f.Proven, Updated: timeBefore(now, f.AgeUs)}, ok
}

func ageOf(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at)).Microseconds()) }

// maxAge limits the ages that peers report; no finding is kept for longer.
const maxAge = 24 * time.Hour

// timeBefore returns the time that was us microseconds before now, at most maxAge.
func timeBefore(now time.Time, us uint64) time.Time {
	return now.Add(-time.Duration(min(us, uint64(maxAge.Microseconds()))) * time.Microsecond)
}
