package suspect

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

func TestApply(t *testing.T) {
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
			assert.DeepEqual(t, Apply(before, reportOf(c.ran...), now, DefaultLimits), c.want)
		})
	}
}

// Endpoints with many neighbours die one after another. The shared suspects
// must stay within their bound and keep the quarantined one.
func TestSuspectsAreBounded(t *testing.T) {
	limits := DefaultLimits
	limits.Most = 10
	now := time.Unix(1_000_000, 0)
	suspects := make(map[fleet.Fingerprint]fleet.Suspect)
	put(suspects, []fleet.Suspect{{Fingerprint: fleet.Fingerprint{255}, Crashes: 2, Quarantined: true, Updated: now}})
	for n := range byte(50) {
		now = now.Add(time.Second)
		put(suspects, Apply(suspects, reportOf(3*n, 3*n+1, 3*n+2), now, limits))
		assert.Assert(t, len(suspects) <= limits.Most)
	}
	assert.Assert(t, suspects[fleet.Fingerprint{255}].Quarantined)
}

func put(suspects map[fleet.Fingerprint]fleet.Suspect, changed []fleet.Suspect) {
	for _, c := range changed {
		if c.Crashes == 0 {
			delete(suspects, c.Fingerprint)
			continue
		}
		suspects[c.Fingerprint] = c
	}
}
