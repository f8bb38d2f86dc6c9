package bootclock

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNowOnlyRises(t *testing.T) {
	before := Now()
	assert.Assert(t, before > 0)
	assert.Assert(t, Now() >= before)
}
