package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rest that is estimated as none, or beyond the maximum, for an answer that lasts
// longer than was expected.
func TestRestOfAnAnswer(t *testing.T) {
	const s = time.Second
	for _, row := range []struct {
		name                            string
		expected, longest, lasted, want time.Duration
	}{
		{"not begun", 5 * s, 8 * s, 0, 5 * s},
		{"half of it", 4 * s, 8 * s, 2 * s, 2 * s},
		{"all that was expected", 5 * s, 20 * s, 5 * s, 2 * s},
		{"longer than expected", 5 * s, 20 * s, 9 * s, 2 * s},
		{"nearly as long as it can", 5 * s, 8 * s, 7 * s, s},
		{"longer than it can", 5 * s, 8 * s, 9 * s, 0},
		{"without a maximum", 5 * s, 0, 9 * s, 2 * s},
		{"expected beyond the maximum", 5 * s, 3 * s, 0, 3 * s},
	} {
		d := AnswerDuration{Expected: row.expected, Longest: row.longest}
		assert.Equal(t, d.Rest(row.lasted), row.want, row.name)
	}
}

func TestTimePerEvent(t *testing.T) {
	b := NewEndpointStats("z", 1, Policy{})
	assert.Equal(t, b.EstimateEvents("s", 100), time.Duration(0), "nothing is known yet")
	b.RecordEvents("s", 8, 400*time.Millisecond)
	assert.Equal(t, b.EstimateEvents("s", 100), 5*time.Second)
	b.RecordEvents("s", 8, time.Hour)
	assert.Assert(t, b.EstimateEvents("s", 100) < 7*time.Second, "a single answer that stalls counts little")
	b.RecordEvents("s", 0, time.Second)
	assert.Equal(t, b.EstimateEvents("other", 100), time.Duration(0))
}
