package schedule

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func TestEachNameInSettingsHasAPolicy(t *testing.T) {
	prefill, decode, start, plain := settings.Policies()
	for kind, names := range map[fleet.EndpointRole][]string{
		fleet.RolePrefill: prefill, fleet.RoleDecode: decode, fleet.RolePlain: plain,
	} {
		for _, name := range names {
			_, err := ChoiceByName(kind, name)
			assert.NilError(t, err, "%s %s", kind, name)
		}
	}
	for _, name := range start {
		_, err := StartByName(name)
		assert.NilError(t, err, name)
	}
}
