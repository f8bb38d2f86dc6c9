package logging

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crowd whose lines leave no room for others: one line a second tells how many there
// were.
func TestSamplerLogsOneLineASecond(t *testing.T) {
	s := NewSampler(Part{})
	now := time.Unix(1000, 0)
	logged, left := 0, 0
	for n := range 1000 {
		more, ok := s.take(now.Add(time.Duration(n)*10*time.Millisecond), "a")
		if ok {
			logged, left = logged+1, left+more
		}
	}
	assert.Equal(t, logged, 10)
	assert.Equal(t, left, 1000-10-99)
	_, ok := s.take(now, "b")
	assert.Assert(t, ok)
}
