package quarantine

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options configure a Service. Zero limits mean DefaultLimits.
type Options struct {
	Source      membership.Source
	Dialer      rpc.Dialer
	Seed        uint64 // of the random part of waits
	Limits      Limits
	Part        logging.Part
	Recorder    timeline.Recorder     // nil: none
	Registerer  prometheus.Registerer // nil: none
	CallTimeout time.Duration         // of a call to a guard instance; 0: DefaultCallTimeout
}

// DefaultCallTimeout is the default timeout of a call to a guard instance.
const DefaultCallTimeout = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	return o
}
