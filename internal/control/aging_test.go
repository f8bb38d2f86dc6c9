package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A team's zones change, and no further command follows. The former zone class
// must still expire, or the team's calls would be delayed by lookups in the
// former zones for longer than their records live.
func TestFormerClassesExpireWithoutCommands(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		time.Sleep(time.Second)
		h.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(formerClassRecordLives*defaultRecordLife - time.Second)
		assert.Equal(t, len(d.agent.State().FormerZoneClasses["sorters"]), 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(d.agent.State().FormerZoneClasses["sorters"]), 0)
	})
}
