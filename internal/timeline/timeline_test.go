package timeline_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

var epoch = time.Unix(1_700_000_000, 0)

func fixedTime() time.Time { return epoch }

// The second daemon's wall clock is behind the first's, and its event was caused by
// the first's message. Without Observe the effect would be ordered before its cause.
func TestEffectIsOrderedAfterItsCauseWhenClocksDiffer(t *testing.T) {
	ahead := timeline.NewClock(func() time.Time { return epoch.Add(time.Second) })
	behind := timeline.NewClock(fixedTime)

	cause := ahead.Now()
	assert.Assert(t, behind.Now().Before(cause), "the clocks differ")
	behind.Observe(cause)
	effect := behind.Now()

	assert.Assert(t, cause.Before(effect))
}

// A daemon with a broken clock may send a stamp far in the future. If it were
// adopted, all later events of the fleet would be ordered by counters alone.
func TestStampBeyondMaxClockSkewIsIgnored(t *testing.T) {
	clock := timeline.NewClock(fixedTime)
	clock.Observe(timeline.Stamp{Wall: uint64(epoch.Add(timeline.MaxClockSkew + 1).UnixNano())})
	assert.Equal(t, clock.Now(), timeline.Stamp{Wall: uint64(epoch.UnixNano())})
}

func TestStampText(t *testing.T) {
	s := timeline.Stamp{Wall: 12, Logical: 3}
	parsed, err := timeline.ParseStamp(s.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, s)
	for _, bad := range []string{"", "1", "x.1", "1.x", "1.4294967296", "-1.0"} {
		_, err := timeline.ParseStamp(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func newRing(size int) *timeline.Ring {
	return timeline.NewRing(size, timeline.NewClock(fixedTime), fleet.Owner{Instance: "a", Incarnation: 1})
}

func TestRingKeepsTheNewestAndCountsDropped(t *testing.T) {
	ring := newRing(3)
	for _, id := range []fleet.RequestID{"1", "2", "3", "4"} {
		ring.Record(timeline.Event{Kind: timeline.KindReceived, Request: id})
	}
	page := ring.Query(&pb.TimelineQuery{})
	assert.Equal(t, page.GetDropped(), uint64(1))
	assert.Equal(t, page.GetLastSequence(), uint64(4))
	assert.Equal(t, len(page.GetEvents()), 3)
	assert.Equal(t, page.GetEvents()[0].GetRequestId(), "2")
}

func TestRingQueries(t *testing.T) {
	ring := newRing(8)
	ring.Record(timeline.Event{Kind: timeline.KindReceived, Request: "r", Team: "x", Detail: strings.Repeat("d", 500)})
	ring.Record(timeline.Event{Kind: timeline.KindGranted, Request: "r", Endpoint: "e", Attempt: "a1"})
	ring.Record(timeline.Event{Kind: timeline.KindSettings, Change: "c"})
	cases := []struct {
		name  string
		query *pb.TimelineQuery
		want  int
	}{
		{"all", &pb.TimelineQuery{}, 3},
		{"request", &pb.TimelineQuery{RequestId: "r"}, 2},
		{"team", &pb.TimelineQuery{Team: "x"}, 1},
		{"endpoint", &pb.TimelineQuery{EndpointId: "e"}, 1},
		{"change", &pb.TimelineQuery{ChangeId: "c"}, 1},
		{"after", &pb.TimelineQuery{AfterSequence: 2}, 1},
		{"after the end", &pb.TimelineQuery{AfterSequence: 9}, 0},
		{"limit", &pb.TimelineQuery{Limit: 1}, 1},
		{"attempts", &pb.TimelineQuery{AttemptIds: []string{"a1", "a2"}}, 1},
		{"since later", &pb.TimelineQuery{SinceNs: uint64(epoch.Add(time.Hour).UnixNano())}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, len(ring.Query(c.query).GetEvents()), c.want)
		})
	}
	detail := ring.Query(&pb.TimelineQuery{}).GetEvents()[0].GetDetail()
	assert.Equal(t, len(detail), timeline.MaxDetail)
}

func TestChartListsDaemonsThatDidNotAnswer(t *testing.T) {
	ring := newRing(8)
	ring.Record(timeline.Event{Kind: timeline.KindReceived, Request: "r", Attempt: "0123456789abcdef"})
	ring.Record(timeline.Event{Kind: timeline.KindCompleted, Request: "r"})
	var out strings.Builder
	err := timeline.WriteChart(&out, timeline.Merged{
		Events:        ring.Query(&pb.TimelineQuery{}).GetEvents(),
		FailedQueries: []timeline.FailedQuery{{Instance: "b", Cause: "refused"}},
	})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out.String(), "request.received"))
	assert.Assert(t, strings.Contains(out.String(), "01234567"))
	assert.Assert(t, strings.Contains(out.String(), "no answer from b: refused"))
}

func FuzzParseStamp(f *testing.F) {
	f.Add("1.2")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := timeline.ParseStamp(text)
		if err != nil {
			return
		}
		again, err := timeline.ParseStamp(s.String())
		assert.NilError(t, err)
		assert.Equal(t, again, s)
	})
}
