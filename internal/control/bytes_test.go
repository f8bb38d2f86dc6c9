package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Message bytes per daemon, before framing, TLS and TCP, stay under 1 KB/s when
// idle, a third of the limit of 3 KB/s, and under that limit at ten changes per
// second. When idle they don't depend on the number of daemons.
func TestDaemonTrafficIsBounded(t *testing.T) {
	measure := func(daemons, changes int) (perDaemon float64) {
		withHarness(t, func(h *daemonHarness) {
			for n := range daemons {
				h.start(fmt.Sprint("e", n), 1)
			}
			time.Sleep(5 * time.Second)
			const span = time.Minute
			before := h.cluster.net.BytesCarried()
			end := time.Now().Add(span)
			for n := range changes {
				h.apply("teams/sorters", uint64(n+1), teamYAML("sorters", "howrah"))
				time.Sleep(span / time.Duration(changes))
			}
			time.Sleep(time.Until(end))
			after := h.cluster.net.BytesCarried()
			perDaemon = float64(after-before) / span.Seconds() / float64(daemons)
		})
		return perDaemon
	}
	few, many, busy := measure(2, 0), measure(24, 0), measure(24, 600)
	t.Logf("idle: %.0f B/s beside 2, %.0f B/s beside 24; %.0f B/s at 10 changes/s", few, many, busy)
	assert.Assert(t, few < 1000 && busy < 3000)
	assert.Assert(t, many < few*1.05)
}
