package endpoint

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// FollowerOptions configures a HomeClient. Source and Dialer must be set.
type FollowerOptions struct {
	Source     membership.Source
	Dialer     rpc.Dialer
	Home       *Home // of this daemon, called without a connection; nil: none
	Recorder   timeline.Recorder
	Part       logging.Part
	Registerer prometheus.Registerer
	MaxHomes   int // maximum number of homes to follow, default DefaultMaxHomes
	Seed       uint64
}

// DefaultMaxHomes is how many homes a follower follows by default. Each costs a
// poll every 1.5 s at most; docs/design/endpoints.md lists the message sizes.
const DefaultMaxHomes = 15
