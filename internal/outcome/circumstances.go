package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Circumstances are what a proposer knows of its shard's group at an epoch.
type Circumstances struct {
	Shard      fleet.LedgerShard
	Epoch      uint64
	Replicas   int
	Fast       bool // all replicas are ready and answered lately
	RecordLife time.Duration
	// HistoryLost tells that records of the last record life may be gone.
	HistoryLost bool
	// Alive tells whether a process is in the view.
	Alive func(fleet.Owner) bool
}

func (c Circumstances) majority() int { return c.Replicas/2 + 1 }
