package outcome

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// shard is a replica's place in one group. Epochs only rise.
type shard struct {
	epoch  uint64 // sealed below this
	whole  uint64 // the epoch for which all records were copied
	ready  uint64 // the epoch at which the shared state calls this replica ready
	member bool   // of the group at epoch, as far as known
	table  *Acceptor
	keys   []Key // sorted, for copying pages
	copied map[fleet.Owner]bool
	group  fleet.LedgerGroup // at epoch; empty when only sealed
}

// serves tells whether the replica may answer at an epoch: the shared state
// must call it ready there.
//
// Two failures are guarded against. A new replica that answered before it had
// copied a majority of its sources would let a claim miss a decided intent:
// the request would run twice. One that answered when it had copied but the
// control group didn't know yet could help to decide a record at an epoch
// whose sources the control group counts without it: the next repair would
// lose the record.
func (s *shard) serves(epoch uint64) bool {
	return s.member && s.epoch == epoch && s.ready == epoch
}
