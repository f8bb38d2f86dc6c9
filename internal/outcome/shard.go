package outcome

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// shard is a replica's state for one group. Epochs only increase.
type shard struct {
	epoch         uint64 // requests of other epochs are refused
	completeEpoch uint64 // the epoch for which the copy is complete
	readyEpoch    uint64 // the epoch at which the shared state marks this replica ready
	member        bool   // of the group at epoch, as far as known here
	acceptor      *Acceptor
	pageKeys      []Key // sorted, for copying pages
	copiedSources map[fleet.Owner]bool
	group         fleet.LedgerGroup // at epoch; lags behind epoch when a copy has sealed the shard
}

// servesEpoch reports whether the replica may answer at an epoch: the shared state must
// mark it ready there.
//
// This guards against two failures. A new replica that answered before it had copied a
// majority of its sources could let a claim miss a decided intent: the request would
// run twice. One that answered after copying, but before the control group knew that it
// was ready, could help to decide a record at an epoch whose sources the control group
// counts without it: the next repair would lose the record.
func (s *shard) servesEpoch(epoch uint64) bool {
	return s.member && s.epoch == epoch && s.readyEpoch == epoch
}
