package schedule

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// LinkCost predicts the time that a KV cache takes from zone to zone.
// Implementations are safe for concurrent use.
type LinkCost interface {
	Cost(from, to fleet.AvailabilityZone, bytes int64) time.Duration
}

// The rate and delay that FlatLinkCost takes for a link between zones.
const (
	flatRate  = 5e9 // bytes a second
	flatDelay = time.Millisecond
)

// FlatLinkCost knows no links: within a zone a transfer is free, between zones
// it has one rate.
type FlatLinkCost struct{}

// Cost implements LinkCost.
func (FlatLinkCost) Cost(from, to fleet.AvailabilityZone, bytes int64) time.Duration {
	if from == to {
		return 0
	}
	return flatDelay + time.Duration(float64(bytes)/flatRate*float64(time.Second))
}
