package settings

import (
	"errors"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// FuzzParseSubtree checks that any input is parsed into either a complete
// subtree or faults, without a panic, and that an accepted subtree is accepted
// again when it is parsed a second time.
func FuzzParseSubtree(f *testing.F) {
	f.Add(true, fillKeyHashes(goodFleet))
	f.Add(false, fillKeyHashes(goodTeam))
	for _, text := range []string{"", "---", "a: &a [*a]", "- 1", "{{", "team: !!binary x", "links: [{rate: 1e9}]", "? [a]\n: b", "timeouts: {kv_life: 1h}"} {
		f.Add(true, []byte(text))
		f.Add(false, []byte(text))
	}
	f.Fuzz(func(t *testing.T, isFleet bool, data []byte) {
		name := "teams/sorters"
		if isFleet {
			name = FleetSubtree
		}
		subtree, err := parseSubtree(name, data)
		if err != nil {
			var faults strictyaml.Faults
			if !errors.As(err, &faults) || len(faults) == 0 || subtree.Fleet != nil || subtree.Team != nil {
				t.Fatalf("refused without faults, or partially parsed: %v", err)
			}
			return
		}
		if (subtree.Fleet != nil) != isFleet || (subtree.Team != nil) == isFleet {
			t.Fatal("parsed into the wrong kind of subtree")
		}
		if _, err := parseSubtree(name, data); err != nil {
			t.Fatalf("accepted the first time, but not the second: %v", err)
		}
	})
}
