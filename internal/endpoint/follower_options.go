package endpoint

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// FollowerOptions are what a follower needs. Source and Dialer must be set.
type FollowerOptions struct {
	Source     membership.Source
	Dialer     rpc.Dialer
	Home       *Home // of this daemon, called without a connection; nil: none
	Recorder   timeline.Recorder
	Part       logging.Part
	Registerer prometheus.Registerer
	Homes      int // how many homes to follow, default DefaultHomes
	Seed       uint64
}

// DefaultHomes is how many homes a follower follows. Each costs a poll every
// 1.5 s at most; docs/design/endpoints.md has the bytes.
const DefaultHomes = 15
