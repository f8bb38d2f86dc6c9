package membership

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Control is what an Agent asks of the control group; control.Client has it.
type Control interface {
	// RenewLease repeats the call until it is answered or ctx ends.
	RenewLease(ctx context.Context, r *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error)
	// Pull makes one try.
	Pull(ctx context.Context, r *pb.PullRequest) (*pb.PullReply, error)
	// Elsewhere makes the next Pull go to another member.
	Elsewhere()
}

// Options are an Agent's parts. Client, Self and Build are required.
type Options struct {
	Client     Control
	Self       fleet.Instance
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
	Recorder   timeline.Recorder     // nil: no events
	// Build makes a tree of all documents; see settings.Build.
	Build func(documents []*pb.SubtreeDocument, index uint64) (*settings.Tree, error)
	// Change makes a tree with one subtree replaced; see settings.CheckChange.
	// It saves parsing all others. Nil: Build is used.
	Change func(tree *settings.Tree, name string, yaml []byte) (*settings.Tree, error)
	Now    func() time.Time // nil: time.Now
}

// ErrFenced is why Run ends when the control group has given this process's
// place up: its lease was ended, or a later incarnation has joined. The
// process must not go on under its incarnation.
var ErrFenced = errors.New("this incarnation has lost its place in the fleet for good")

// The defaults that hold before the fleet subtree is known.
const (
	defaultInstanceLease = 2 * time.Second
	defaultSettingsLease = 3 * time.Second
)

// The pace of an Agent.
const (
	renewalsPerLease    = 4
	retriesPerLease     = 20 // pace after a failed renewal
	pullWait            = 20 * time.Second
	pullSpacing         = 200 * time.Millisecond // after news, so that a burst comes in one answer
	shortestPullBackoff = 50 * time.Millisecond
	longestPullBackoff  = 2 * time.Second
	shortestRenewal     = 500 * time.Millisecond // least time given to one renewal
	maxUnconfirmed      = 64                     // renewals whose index is not yet applied
)
