package schedule

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// LinkCost predicts the transfer time of a KV cache between two zones.
// Implementations are safe for concurrent use.
type LinkCost interface {
	Cost(from, to fleet.AvailabilityZone, bytes int64) time.Duration
}

// Rate and delay that FlatLinkCost assumes for a link between zones.
const (
	flatRate  = 5e9 // bytes per second
	flatDelay = time.Millisecond
)

// FlatLinkCost is a LinkCost without link data: a transfer within a zone is
// free, and all links between zones have the same rate and delay.
type FlatLinkCost struct{}

// Cost implements LinkCost.
func (FlatLinkCost) Cost(from, to fleet.AvailabilityZone, bytes int64) time.Duration {
	if from == to {
		return 0
	}
	return flatDelay + time.Duration(float64(bytes)/flatRate*float64(time.Second))
}
