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
