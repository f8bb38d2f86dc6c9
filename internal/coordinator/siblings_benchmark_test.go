package coordinator

import (
	"fmt"
	"testing"
)

// BenchmarkSiblings measures one answer to an entry that asks for siblings.
func BenchmarkSiblings(b *testing.B) {
	for _, test := range []struct {
		name    string
		entries int
		cut     []string
	}{{"1000", 100, nil}, {"2000", 200, nil}, {"2000, half of the zones cut off", 200, []string{"z0", "z1", "z2", "z3", "z4"}}} {
		counts := map[string]int{}
		for n := range 10 {
			counts[fmt.Sprint("z", n)] = test.entries
		}
		zones := siblingZones(counts, test.cut...)
		b.Run(test.name, func(b *testing.B) {
			for b.Loop() {
				siblingsOf(zones, "z0", "0")
			}
		})
	}
}
