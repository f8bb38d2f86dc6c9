package outcome

import (
	"cmp"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func compareShards(a, b fleet.LedgerShard) int {
	return cmp.Or(cmp.Compare(a.ZoneClass, b.ZoneClass), cmp.Compare(a.Shard, b.Shard))
}
