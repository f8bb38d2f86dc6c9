package outcome

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// RunGuard answers the calls of the Ledger service that are about
// fingerprints; quarantine.Service implements it.
type RunGuard interface {
	BeginRun(ctx context.Context, q *pb.BeginRunRequest) (*pb.BeginRunReply, error)
	EndRun(ctx context.Context, q *pb.EndRunRequest) (*pb.EndRunReply, error)
}

// Options are what a Service needs. Zero durations and limits take the
// defaults.
type Options struct {
	Source membership.Source
	Dialer rpc.Dialer
	// Ready tells the control group which shards this process has copied.
	Ready func(ctx context.Context, ready *pb.LedgerReady) error
	Runs  RunGuard // nil refuses the calls
	// Seed makes the random waits between rounds.
	Seed       uint64
	Limits     Limits
	Part       logging.Part
	Recorder   timeline.Recorder     // nil: none
	Registerer prometheus.Registerer // nil: none
	Call       time.Duration         // longest call to a replica, default DefaultCall
	NoFast     bool                  // claims always prepare first
}

// DefaultCall bounds one call to a replica. Replicas are a fraction of a
// millisecond away; the rest is room for a busy process.
const DefaultCall = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	if o.Call == 0 {
		o.Call = DefaultCall
	}
	if o.Limits.MaxRecords == 0 {
		o.Limits.MaxRecords = DefaultLimits.MaxRecords
	}
	if o.Limits.RecordLife == 0 {
		o.Limits.RecordLife = DefaultLimits.RecordLife
	}
	return o
}
