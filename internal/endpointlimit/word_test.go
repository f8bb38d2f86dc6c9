package endpointlimit

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a faulty endpoint whose values take it out of service, or lift a limit.
func TestParseWord(t *testing.T) {
	named := func(perSecond float64) Word { return Word{Kind: KindNamed, PerSecond: perSecond} }
	unreadable := Word{Kind: KindUnreadable}
	for _, test := range []struct {
		name   string
		values []string
		want   Word
	}{
		{"no header", nil, Word{}},
		{"decimal", []string{"1.9"}, named(1.9)},
		{"spaces", []string{" 4 "}, named(4)},
		{"nothing", []string{"0"}, named(0)},
		{"empty", []string{""}, unreadable},
		{"negative", []string{"-1"}, unreadable},
		{"no number", []string{"NaN"}, unreadable},
		{"infinite", []string{"Inf"}, unreadable},
		{"beyond any endpoint", []string{"1e300"}, unreadable},
		{"out of range", []string{"1e999"}, unreadable},
		{"words", []string{"a few"}, unreadable},
		{"several headers", []string{"9", "2.5"}, named(2.5)},
		{"several in one", []string{"9, 2.5"}, named(2.5)},
		{"one of several", []string{"x", "3", "-4"}, named(3)},
	} {
		t.Run(test.name, func(t *testing.T) { assert.DeepEqual(t, ParseWord(test.values), test.want) })
	}
}
