package endpoint

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon starts while its view is still empty, then joins. It has polled no
// home before, so its lack of candidates means nothing until the first poll of
// the others has ended, whether they answered or not.
func TestFirstPollTimeIsSetByTheFirstPollOfHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		b, a := homes("e1")
		d := startDaemon(t, net, a, viewOf(1))
		defer d.stop()
		time.Sleep(2 * minPollInterval)
		_, done := d.client.FirstPollTime()
		assert.Assert(t, !done)

		joined := time.Now()
		d.setView(viewOf(2, a, b))
		time.Sleep(2 * minPollInterval)
		at, done := d.client.FirstPollTime()
		assert.Assert(t, done)
		assert.Assert(t, at.Sub(joined) <= minPollInterval)

		time.Sleep(4 * minPollInterval)
		later, _ := d.client.FirstPollTime()
		assert.Equal(t, later, at)
	})
}
