package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against header values by which a faulty endpoint takes itself out of service for good.
func TestParseRetryAfter(t *testing.T) {
	for _, test := range []struct {
		name   string
		values []string
		want   time.Duration
	}{
		{"no header", nil, 0},
		{"seconds", []string{"3"}, 3 * time.Second},
		{"fraction of a second", []string{" 0.25 "}, 250 * time.Millisecond},
		{"zero", []string{"0"}, 0},
		{"empty", []string{""}, 0},
		{"negative", []string{"-7"}, 0},
		{"not a number", []string{"NaN"}, 0},
		{"infinite", []string{"Inf"}, 0},
		{"date", []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, 0},
		{"ten years", []string{"315360000"}, maxCooldown},
		{"overflow", []string{"1e300"}, maxCooldown},
		{"several headers", []string{"1", "4"}, 4 * time.Second},
		{"several in one header", []string{"4, x, 1"}, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, ParseRetryAfter(test.values), test.want) })
	}
}

// Guards against a request to a restarted endpoint that requested a cooldown before the entry
// knew its new incarnation, since the cooldown was recorded for the old one; and against a
// cooldown from before its start that binds the new incarnation.
func TestCooldownOfUnknownIncarnation(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	old := &Endpoint{ID: "e", Born: 900_000}
	for _, test := range []struct {
		name  string
		born  uint64
		known bool // the incarnation is known before the cooldown is requested
		want  Availability
	}{
		{"started before, unknown", 999_000, false, CoolingDown},
		{"started before, known, answered a request for the old incarnation", 999_000, true, CoolingDown},
		{"started after", 1_000_500, false, Accepting},
		{"start unknown", 0, false, Accepting},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewEndpointStats("", 1, Policy{})
			restarted := &Endpoint{ID: "e", Born: test.born}
			if test.known {
				b.Begin(now, restarted, Work{})
			}
			b.StartCooldown(now, old, 10*time.Second)
			later := now.Add(time.Second)
			assert.Equal(t, b.Availability(later, restarted), test.want)
			assert.Equal(t, len(b.Unblocked(later, []*Endpoint{restarted})) == 0, test.want == CoolingDown)
			b.Sweep(now.Add(time.Minute))
			assert.Equal(t, len(b.cooldowns), 0)
		})
	}
}
