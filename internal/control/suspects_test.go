package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func (l *testLog) crash(endpoint string, incarnation uint64, on ...byte) string {
	l.t.Helper()
	r := &pb.ReportCrash{EndpointId: endpoint, EndpointIncarnation: incarnation}
	for _, f := range on {
		raw := fleet.Fingerprint{f}
		r.Fingerprints = append(r.Fingerprints, raw[:])
	}
	return l.apply(&pb.Command{Body: &pb.Command_ReportCrash{ReportCrash: r}}).Refusal
}

func TestSuspectsTable(t *testing.T) {
	type crash struct {
		endpoint    string
		incarnation uint64
		on          []byte
	}
	cases := []struct {
		name        string
		crashes     []crash
		quarantined []byte
		suspects    int
	}{
		{"one crash", []crash{{"x", 1, []byte{1, 2, 3}}}, nil, 3},
		{"alone at a second crash", []crash{{"x", 1, []byte{1, 2}}, {"y", 1, []byte{1}}}, []byte{1}, 2},
		{"the intersection", []crash{{"x", 1, []byte{1, 2}}, {"y", 1, []byte{1, 3}}}, []byte{1}, 2},
		{"two in common", []crash{{"x", 1, []byte{1, 2}}, {"y", 1, []byte{1, 2}}}, nil, 2},
		{"three crashes, never alone", []crash{{"x", 1, []byte{1, 2}}, {"y", 1, []byte{1, 2}}, {"x", 2, []byte{1, 2}}}, []byte{1, 2}, 2},
		{"one crash reported twice", []crash{{"x", 1, []byte{1}}, {"x", 1, []byte{1}}}, nil, 1},
		{"one crash reported in parts", []crash{{"x", 1, []byte{1}}, {"x", 1, []byte{1, 2}}}, nil, 2},
		{"a late part without the suspect", []crash{{"x", 1, []byte{1}}, {"y", 1, []byte{1}}, {"y", 1, []byte{1, 2}}}, []byte{1}, 1},
		{"a late part with the suspect", []crash{{"x", 1, []byte{1}}, {"y", 1, []byte{2}}, {"y", 1, []byte{1}}}, []byte{1}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newFleet(t)
			for _, d := range c.crashes {
				assert.Equal(t, l.crash(d.endpoint, d.incarnation, d.on...), "")
				l.restoreFromSnapshot()
			}
			var quarantined []byte
			for _, r := range l.machine.suspects.sorted() {
				if r.Quarantined {
					quarantined = append(quarantined, r.Fingerprint[0])
				}
			}
			assert.DeepEqual(t, quarantined, c.quarantined)
			assert.Equal(t, len(l.machine.suspects.records), c.suspects)
		})
	}
}

func TestSuspectsAgeAndAreBounded(t *testing.T) {
	l := newFleet(t)
	assert.Equal(t, l.crash("x", 1, 1), "")
	l.advance(time.Hour.Milliseconds() + 1)
	assert.Equal(t, len(l.machine.suspects.records), 0)
	assert.Equal(t, l.lastDelta().Suspects[0].Crashes, uint32(0))
	for n := range uint64(6) {
		r := &pb.ReportCrash{EndpointId: "x", EndpointIncarnation: n + 2}
		for f := range maxFingerprints {
			raw := fleet.Fingerprint{byte(n + 1), byte(f >> 8), byte(f)}
			r.Fingerprints = append(r.Fingerprints, raw[:])
		}
		l.apply(&pb.Command{Body: &pb.Command_ReportCrash{ReportCrash: r}})
	}
	assert.Equal(t, len(l.machine.suspects.records), maxSuspects)
	short := &pb.ReportCrash{EndpointId: "x", Fingerprints: [][]byte{{1}}}
	assert.Equal(t, l.apply(&pb.Command{Body: &pb.Command_ReportCrash{ReportCrash: short}}).Refusal, refusalMalformed)
}
