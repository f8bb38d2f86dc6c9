package endpointlimit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against header values by which a faulty endpoint takes itself out of service or ends
// a limit.
func TestParseSignal(t *testing.T) {
	named := func(perSecond float64) Signal { return Signal{Kind: KindLimit, PerSecond: perSecond} }
	invalid := Signal{Kind: KindInvalid}
	for _, test := range []struct {
		name   string
		values []string
		want   Signal
	}{
		{"no header", nil, Signal{}},
		{"decimal", []string{"1.9"}, named(1.9)},
		{"spaces", []string{" 4 "}, named(4)},
		{"zero", []string{"0"}, named(0)},
		{"empty", []string{""}, invalid},
		{"negative", []string{"-1"}, invalid},
		{"not a number", []string{"NaN"}, invalid},
		{"infinite", []string{"Inf"}, invalid},
		{"too large", []string{"1e300"}, invalid},
		{"out of range", []string{"1e999"}, invalid},
		{"text", []string{"a few"}, invalid},
		{"several headers", []string{"9", "2.5"}, named(2.5)},
		{"several in one header", []string{"9, 2.5"}, named(2.5)},
		{"one valid of several", []string{"x", "3", "-4"}, named(3)},
	} {
		t.Run(test.name, func(t *testing.T) { assert.DeepEqual(t, ParseSignal(test.values), test.want) })
	}
}
