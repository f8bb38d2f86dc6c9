package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestShutdownPlan(t *testing.T) {
	for _, test := range []struct{ within, limit, linger time.Duration }{
		{12 * time.Second, 11500 * time.Millisecond, 3 * time.Second},
		{2500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond},
		{100 * time.Millisecond, 0, 0},
	} {
		l := ShutdownPlan{Timeout: test.within}
		assert.Equal(t, l.MaxDuration(), test.limit)
		assert.Equal(t, l.AcceptDuration(), test.linger)
	}
}
