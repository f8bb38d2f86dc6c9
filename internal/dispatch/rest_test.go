package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a faulty endpoint whose values take it out of service for good.
func TestParseRest(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []string
		want   time.Duration
	}{
		{"no header", nil, 0},
		{"seconds", []string{"3"}, 3 * time.Second},
		{"a part of a second", []string{" 0.25 "}, 250 * time.Millisecond},
		{"nothing", []string{"0"}, 0},
		{"empty", []string{""}, 0},
		{"negative", []string{"-7"}, 0},
		{"no number", []string{"NaN"}, 0},
		{"infinite", []string{"Inf"}, 0},
		{"a date", []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, 0},
		{"ten years", []string{"315360000"}, longestRest},
		{"beyond any number of seconds", []string{"1e300"}, longestRest},
		{"several headers", []string{"1", "4"}, 4 * time.Second},
		{"several in one", []string{"4, x, 1"}, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, ParseRest(test.values), test.want) })
	}
}

// Guards against an endpoint that starts again, asks for rest before the entry hears of its
// new run, and is sent the next request since the word was filed under the run before; and
// against a new run that is bound by a word from before its start.
func TestRestOfARunThatWasNotKnownYet(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	old := &Endpoint{ID: "e", Born: 900_000}
	for _, test := range []struct {
		name  string
		born  uint64
		known bool // before the word comes
		want  Unwanted
	}{
		{"it had started", 999_000, false, Resting},
		{"it had started and was known, the request was for the run before", 999_000, true, Resting},
		{"it starts after the word", 1_000_500, false, Wanted},
		{"it doesn't say", 0, false, Wanted},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBook("", 1, Policy{})
			run := &Endpoint{ID: "e", Born: test.born}
			if test.known {
				b.Begin(now, run, Work{})
			}
			b.Rest(now, old, 10*time.Second)
			later := now.Add(time.Second)
			assert.Equal(t, b.Unwanted(later, run), test.want)
			assert.Equal(t, len(b.Unblocked(later, []*Endpoint{run})) == 0, test.want == Resting)
			b.Sweep(now.Add(time.Minute))
			assert.Equal(t, len(b.rests), 0)
		})
	}
}
