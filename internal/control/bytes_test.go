package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Message bytes of a daemon, before framing, TLS and TCP: under a third of the
// 3 KB/s when idle and all of it at ten changes a second, and, idle, the same
// beside 2 daemons as beside 24.
func TestDaemonTrafficIsBounded(t *testing.T) {
	measure := func(daemons, changes int) (perDaemon float64) {
		withHarness(t, func(b *daemonHarness) {
			for n := range daemons {
				b.start(fmt.Sprint("e", n), 1)
			}
			time.Sleep(5 * time.Second)
			const span = time.Minute
			before := b.cluster.net.Bytes()
			end := time.Now().Add(span)
			for n := range changes {
				b.apply("teams/sorters", uint64(n+1), teamYAML("sorters", "howrah"))
				time.Sleep(span / time.Duration(changes))
			}
			time.Sleep(time.Until(end))
			after := b.cluster.net.Bytes()
			perDaemon = float64(after-before) / span.Seconds() / float64(daemons)
		})
		return perDaemon
	}
	few, many, busy := measure(2, 0), measure(24, 0), measure(24, 600)
	t.Logf("idle: %.0f B/s beside 2, %.0f B/s beside 24; %.0f B/s at 10 changes/s", few, many, busy)
	assert.Assert(t, few < 1000 && busy < 3000)
	assert.Assert(t, many < few*1.05)
}
