package settings_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// TestEveryPolicyNameHasAPolicy checks that package schedule implements every
// policy name that settings accept; entries couldn't apply a change that names
// one without an implementation.
func TestEveryPolicyNameHasAPolicy(t *testing.T) {
	prefill, decode, start, plain := settings.Policies()
	for kind, names := range map[fleet.EndpointRole][]string{fleet.RolePrefill: prefill, fleet.RoleDecode: decode, fleet.RolePlain: plain} {
		for _, name := range names {
			_, err := schedule.ChoiceByName(kind, name)
			assert.NilError(t, err)
		}
	}
	for _, name := range start {
		_, err := schedule.StartByName(name)
		assert.NilError(t, err)
	}
	defaults := settings.DefaultDecisions()
	assert.DeepEqual(t, defaults, settings.Decisions{Prefill: prefill[0], Decode: decode[0], Start: start[0], Plain: plain[0]})
}
