package endpoint

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon starts while its view is still empty, then joins. Nobody has been
// asked before the join, so its lack of candidates says nothing until the
// first poll of the others has ended, whether they answered or not.
func TestSurveyEndsWithTheFirstPollOfHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		b, a := homes("e1")
		d := start(t, net, a, viewOf(1))
		defer d.stop()
		time.Sleep(2 * pollEvery)
		_, done := d.client.Surveyed()
		assert.Assert(t, !done)

		joined := time.Now()
		d.see(viewOf(2, a, b))
		time.Sleep(2 * pollEvery)
		at, done := d.client.Surveyed()
		assert.Assert(t, done)
		assert.Assert(t, at.Sub(joined) <= pollEvery)

		time.Sleep(4 * pollEvery)
		later, _ := d.client.Surveyed()
		assert.Equal(t, later, at)
	})
}
