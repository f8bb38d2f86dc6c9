package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func TestPrefillPredictorLearnsTheLine(t *testing.T) {
	p := NewPrefillPredictor()
	random := seeded()
	for range 500 {
		tokens := 50 + random.IntN(4000)
		p.Observe(tokens, 20*ms+time.Duration(tokens)*300*time.Microsecond)
	}
	for _, tokens := range []int{10, 1000, 10000} {
		want := 20*ms + time.Duration(tokens)*300*time.Microsecond
		got := p.Predict(tokens)
		assert.Assert(t, got > want*95/100 && got < want*105/100, "%d tokens: %v, want %v", tokens, got, want)
	}
}

func TestPrefillPredictorWithOneLength(t *testing.T) {
	p := NewPrefillPredictor()
	for range 20 {
		p.Observe(1000, 100*ms)
	}
	assert.Equal(t, p.Predict(1000).Round(ms), 100*ms)
	assert.Assert(t, p.Predict(2000) > 150*ms)
}

func TestOutputPredictor(t *testing.T) {
	p := NewOutputPredictor()
	key := OutputKey{Team: "sutokatha", Model: "fibre"}
	assert.Equal(t, p.Quantile(key, 0.5, 100), 100)
	for n := range 1000 {
		p.Observe(key, 1+n%200)
	}
	median := p.Quantile(key, 0.5, 0)
	assert.Assert(t, median >= 90 && median <= 128, "%d", median)
	assert.Assert(t, p.Quantile(key, 0.95, 0) >= 180)
	for n := range 2 * maxOutputKeys {
		p.Observe(OutputKey{Team: fleet.Team(fmt.Sprint(n))}, 1)
	}
	assert.Equal(t, len(p.byKey), maxOutputKeys)
	assert.Equal(t, p.recent.Len(), maxOutputKeys)
}

func TestLinkSchedule(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLinkSchedule(1e9, 2*ms) // 100 MB take 100 ms
	assert.Equal(t, l.Predict(now, now, 100e6), 102*ms)
	assert.Equal(t, l.Book(now, now, "a", 100e6), now.Add(102*ms))
	assert.Equal(t, l.Predict(now, now, 100e6), 202*ms)
	l.Book(now, now.Add(300*ms), "b", 100e6)
	assert.Equal(t, l.Predict(now, now, 100e6), 202*ms) // between a and b
	assert.Equal(t, l.Predict(now, now, 300e6), 702*ms) // only after b
	l.Release("a")
	assert.Equal(t, l.Predict(now, now, 100e6), 102*ms)
	later := now.Add(time.Second)
	assert.Equal(t, l.Predict(later, later, 100e6), 102*ms)
	for range 100 {
		l.Observe(100e6, 202*ms)
	}
	slowed := l.Predict(later, later, 100e6)
	assert.Assert(t, slowed > 195*ms && slowed <= 202*ms, "%v", slowed)
}

func TestLinkScheduleIsBounded(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewLinkSchedule(1e9, 0)
	for n := range 2 * maxBookings {
		l.Book(now, now, fleet.AttemptID(fmt.Sprint(n)), 1e6)
	}
	assert.Equal(t, len(l.bookings), maxBookings)
}

func TestLinkTable(t *testing.T) {
	now := time.Unix(100, 0)
	links := []settings.Link{{From: "howrah", To: "barasat", Rate: 1e9}}
	table := NewLinkTable(links, func() time.Time { return now })
	table.Book(now, now, "howrah", "barasat", "a", 100e6)
	assert.Equal(t, table.Cost("howrah", "barasat", 100e6), 200*ms)
	table.Apply(links)
	assert.Equal(t, table.Cost("howrah", "barasat", 100e6), 200*ms)
	table.Finish("howrah", "barasat", "a", 100e6, 0)
	assert.Equal(t, table.Cost("howrah", "barasat", 100e6), 100*ms)
	assert.Equal(t, table.Cost("barasat", "barasat", 100e6), 0*ms)
}
