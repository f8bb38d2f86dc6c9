package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A team's zones change, and after that nobody changes anything for a day. Its
// calls must not be held up by the old zones for longer than their records
// live, although no command comes that would carry the time.
func TestFormerClassesExpireWithoutCommands(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		time.Sleep(time.Second)
		b.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(formerClassRecordLives*defaultRecordLife - time.Second)
		assert.Equal(t, len(d.agent.State().Former["sorters"]), 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(d.agent.State().Former["sorters"]), 0)
	})
}
