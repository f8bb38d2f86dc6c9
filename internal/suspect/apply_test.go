package suspect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
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
	fresh, stale := now.Add(-time.Minute), now.Add(-2*time.Hour)
	suspect := func(n byte, crashes int, quarantined bool, at time.Time) fleet.Suspect {
		return fleet.Suspect{Fingerprint: fleet.Fingerprint{n}, Crashes: crashes, Quarantined: quarantined, Updated: at}
	}
	type list = []fleet.Suspect
	cases := map[string]struct {
		before list
		ran    []byte
		want   list
	}{
		"no suspect ran":  {nil, []byte{2, 1, 2}, list{suspect(1, 1, false, now), suspect(2, 1, false, now)}},
		"one suspect ran": {list{suspect(1, 1, false, fresh)}, []byte{1, 2, 3}, list{suspect(1, 2, true, now)}},
		"two suspects ran": {
			before: list{suspect(1, 1, false, fresh), suspect(2, 1, false, fresh)},
			ran:    []byte{1, 2, 3},
			want:   list{suspect(1, 2, false, now), suspect(2, 2, false, now)},
		},
		"two suspects ran, one for the third time": {
			before: list{suspect(1, 2, false, fresh), suspect(2, 1, false, fresh)},
			ran:    []byte{1, 2, 3},
			want:   list{suspect(1, 3, true, now), suspect(2, 2, false, now)},
		},
		"an expired suspect ran":        {list{suspect(1, 1, false, stale)}, []byte{1, 2}, list{suspect(1, 1, false, now), suspect(2, 1, false, now)}},
		"an expired suspect is removed": {list{suspect(9, 2, true, stale)}, []byte{1}, list{suspect(1, 1, false, now), {Fingerprint: fleet.Fingerprint{9}}}},
		"nothing ran":                   {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := make(map[fleet.Fingerprint]fleet.Suspect)
			testkit.ApplySuspects(before, c.before)
			assert.DeepEqual(t, Apply(before, reportOf(c.ran...), now, DefaultLimits), c.want)
		})
	}
}

// Guards against unbounded suspects, and against evicting a quarantined one, when endpoints
// with many requests die one after another.
func TestSuspectsAreBounded(t *testing.T) {
	limits := DefaultLimits
	limits.MaxTracked = 10
	now := time.Unix(1_000_000, 0)
	suspects := make(map[fleet.Fingerprint]fleet.Suspect)
	testkit.ApplySuspects(suspects, []fleet.Suspect{{Fingerprint: fleet.Fingerprint{255}, Crashes: 2, Quarantined: true, Updated: now}})
	for n := range byte(50) {
		now = now.Add(time.Second)
		testkit.ApplySuspects(suspects, Apply(suspects, reportOf(3*n, 3*n+1, 3*n+2), now, limits))
		assert.Assert(t, len(suspects) <= limits.MaxTracked)
	}
	assert.Assert(t, suspects[fleet.Fingerprint{255}].Quarantined)
}
