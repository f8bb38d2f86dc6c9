package settings

import (
	"errors"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// FuzzParseSubtree: any bytes give a whole subtree or faults, never a panic
// and never half of each, and a subtree that parses alone is never refused by
// a second reading.
func FuzzParseSubtree(f *testing.F) {
	f.Add(true, fill(goodFleet))
	f.Add(false, fill(goodTeam))
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
				t.Fatalf("refused without faults, or half parsed: %v", err)
			}
			return
		}
		if (subtree.Fleet != nil) != isFleet || (subtree.Team != nil) == isFleet {
			t.Fatal("parsed into the wrong subtree")
		}
		if _, err := parseSubtree(name, data); err != nil {
			t.Fatalf("read differently the second time: %v", err)
		}
	})
}
