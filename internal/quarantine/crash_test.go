package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func reportOf(ran ...byte) *pb.ReportCrash {
	report := &pb.ReportCrash{EndpointId: "engine-1", EndpointIncarnation: 1}
	for _, n := range ran {
		f := fleet.Fingerprint{n}
		report.Fingerprints = append(report.Fingerprints, f[:])
	}
	return report
}

func TestApplyCrash(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	fresh := now.Add(-time.Minute)
	stale := now.Add(-2 * time.Hour)
	suspect := func(n byte, crashes int, quarantined bool, at time.Time) fleet.Suspect {
		return fleet.Suspect{Fingerprint: fleet.Fingerprint{n}, Crashes: crashes, Quarantined: quarantined, Updated: at}
	}
	cases := map[string]struct {
		before []fleet.Suspect
		ran    []byte
		want   []fleet.Suspect
	}{
		"none was a suspect": {
			ran:  []byte{2, 1, 2},
			want: []fleet.Suspect{suspect(1, 1, false, now), suspect(2, 1, false, now)},
		},
		"one was": {
			before: []fleet.Suspect{suspect(1, 1, false, fresh)},
			ran:    []byte{1, 2, 3},
			want:   []fleet.Suspect{suspect(1, 2, true, now)},
		},
		"two were": {
			before: []fleet.Suspect{suspect(1, 1, false, fresh), suspect(2, 1, false, fresh)},
			ran:    []byte{1, 2, 3},
			want:   []fleet.Suspect{suspect(1, 2, false, now), suspect(2, 2, false, now)},
		},
		"two were, for the third time": {
			before: []fleet.Suspect{suspect(1, 2, false, fresh), suspect(2, 1, false, fresh)},
			ran:    []byte{1, 2, 3},
			want:   []fleet.Suspect{suspect(1, 3, true, now), suspect(2, 2, false, now)},
		},
		"one was long ago": {
			before: []fleet.Suspect{suspect(1, 1, false, stale)},
			ran:    []byte{1, 2},
			want:   []fleet.Suspect{suspect(1, 1, false, now), suspect(2, 1, false, now)},
		},
		"an old one goes": {
			before: []fleet.Suspect{suspect(9, 2, true, stale)},
			ran:    []byte{1},
			want:   []fleet.Suspect{suspect(1, 1, false, now), {Fingerprint: fleet.Fingerprint{9}}},
		},
		"nothing ran": {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := make(map[fleet.Fingerprint]fleet.Suspect)
			put(before, c.before)
			assert.DeepEqual(t, ApplyCrash(before, reportOf(c.ran...), now), c.want)
		})
	}
}

// Endpoints with many neighbours die one after another. The shared suspects
// must stay within their bound and keep the quarantined one.
func TestSuspectsAreBounded(t *testing.T) {
	limits := DefaultLimits
	limits.MaxSuspects = 10
	now := time.Unix(1_000_000, 0)
	suspects := make(map[fleet.Fingerprint]fleet.Suspect)
	put(suspects, []fleet.Suspect{{Fingerprint: fleet.Fingerprint{255}, Crashes: 2, Quarantined: true, Updated: now}})
	for n := range byte(50) {
		now = now.Add(time.Second)
		put(suspects, ApplyCrashWithin(suspects, reportOf(3*n, 3*n+1, 3*n+2), now, limits))
		assert.Assert(t, len(suspects) <= limits.MaxSuspects)
	}
	assert.Assert(t, suspects[fleet.Fingerprint{255}].Quarantined)
}

func TestFingerprint(t *testing.T) {
	same := FingerprintOf([]byte("s"), "tainan", "gloss", []byte("verse"))
	assert.Equal(t, same, FingerprintOf([]byte("s"), "tainan", "gloss", []byte("verse")))
	others := []fleet.Fingerprint{
		FingerprintOf([]byte("t"), "tainan", "gloss", []byte("verse")),
		FingerprintOf([]byte("s"), "tainang", "loss", []byte("verse")),
		FingerprintOf([]byte("s"), "tainan", "glossv", []byte("erse")),
	}
	for _, o := range others {
		assert.Assert(t, o != same)
	}
}
