package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestFor(t *testing.T) {
	for name, row := range map[string]struct {
		d, deadline, took time.Duration
		passed            bool
	}{
		"passes":              {time.Second, time.Minute, time.Second, true},
		"is cut short":        {time.Minute, time.Second, time.Second, false},
		"nothing to wait for": {-1, time.Second, 0, true},
		"ended before":        {0, -1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), row.deadline)
				defer cancel()
				assert.Equal(t, For(ctx, row.d), row.passed)
				assert.Equal(t, time.Since(began), row.took)
			})
		})
	}
}
