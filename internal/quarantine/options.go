package quarantine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options are what a Service needs. Zero limits take DefaultLimits.
type Options struct {
	Source     membership.Source
	Dialer     rpc.Dialer
	Seed       uint64 // of the spread of waits
	Limits     Limits
	Part       logging.Part
	Recorder   timeline.Recorder     // nil: none
	Registerer prometheus.Registerer // nil: none
	Call       time.Duration         // longest call to a guard instance, default DefaultCall
}

// DefaultCall bounds one call to a guard instance.
const DefaultCall = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits
	}
	if o.Call == 0 {
		o.Call = DefaultCall
	}
	return o
}
