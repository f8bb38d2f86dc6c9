package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// GroupView is what a proposer knows about its shard's replica group at an epoch.
type GroupView struct {
	Shard      fleet.LedgerShard
	Epoch      uint64
	Replicas   int
	FastPath   bool // all replicas are ready and answered recently
	RecordLife time.Duration
	// HistoryLost is set when records of the last record life may be lost.
	HistoryLost bool
	// InView reports whether a process is in the view.
	InView func(fleet.Owner) bool
}

func (g GroupView) majority() int { return g.Replicas/2 + 1 }
