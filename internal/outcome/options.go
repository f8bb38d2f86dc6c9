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

// RunGuard handles the calls of the Ledger RPC service that concern fingerprints.
// quarantine.Service implements it.
type RunGuard interface {
	BeginRun(ctx context.Context, q *pb.BeginRunRequest) (*pb.BeginRunReply, error)
	EndRun(ctx context.Context, q *pb.EndRunRequest) (*pb.EndRunReply, error)
}

// Options configure a Service. Zero durations and limits mean the defaults.
type Options struct {
	Source membership.Source
	Dialer rpc.Dialer
	// ReportReady reports to the control group which shards this process has copied.
	ReportReady func(ctx context.Context, ready *pb.LedgerReady) error
	RunGuard    RunGuard // nil: the calls are refused
	// Seed is the seed of the random delays between rounds.
	Seed            uint64
	Limits          Limits
	Part            logging.Part
	Recorder        timeline.Recorder     // nil: none
	Registerer      prometheus.Registerer // nil: none
	CallTimeout     time.Duration         // of one call to a replica, default DefaultCallTimeout
	DisableFastPath bool                  // claims always prepare first
}

// DefaultCallTimeout bounds one call to a replica. The round trip takes a fraction of a
// millisecond; the rest is headroom for a busy process.
const DefaultCallTimeout = 250 * time.Millisecond

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Limits.MaxRecords == 0 {
		o.Limits.MaxRecords = DefaultLimits.MaxRecords
	}
	if o.Limits.RecordLife == 0 {
		o.Limits.RecordLife = DefaultLimits.RecordLife
	}
	return o
}
