package endpoint

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// HomeOptions configures a Home. Source, Engine, Dialer and CheckKey must be
// set; the others are optional.
type HomeOptions struct {
	Source     membership.Source
	Engine     engine.Client
	Dialer     rpc.Dialer
	Recorder   timeline.Recorder
	Part       logging.Part
	Registerer prometheus.Registerer
	Seed       uint64
	// ReportCrash reports a crash to the control group. It is retried until it
	// returns nil.
	ReportCrash func(ctx context.Context, report *pb.ReportCrash) error
	// CheckKey reports whether a bearer key is the fleet's endpoint key.
	CheckKey func(key string) bool
	// Running reports whether this daemon still runs an attempt, as
	// Follower.Running does. If nil, no hold of this process is disowned.
	Running func(attempt fleet.AttemptID) bool
}

// limitsFrom returns the timeouts of the settings, with the default for those
// that are not set.
func limitsFrom(tree *settings.Tree) Limits {
	l := DefaultLimits()
	if tree == nil {
		return l
	}
	t := tree.Fleet.Timeouts
	if t.SettingsLease > 0 {
		l.SettingsLease = t.SettingsLease
	}
	if t.EndpointLease > 0 {
		l.EndpointLease = t.EndpointLease
	}
	if t.EndpointHeartbeat > 0 {
		l.Heartbeat = t.EndpointHeartbeat
	}
	if t.GrantLife > 0 {
		l.GrantLife = t.GrantLife
	}
	if t.KVLife > 0 {
		l.KVLife = t.KVLife
	}
	if t.Transfer > 0 {
		l.Transfer = t.Transfer
	}
	return l
}
