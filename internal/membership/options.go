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

// Control is the interface of an Agent to the control group. control.Client
// implements it.
type Control interface {
	// RenewLease retries the call until it is answered or ctx ends.
	RenewLease(ctx context.Context, r *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error)
	// Pull makes one attempt.
	Pull(ctx context.Context, r *pb.PullRequest) (*pb.PullReply, error)
	// UseOtherInstance makes the next Pull use another control instance.
	UseOtherInstance()
}

// Options configures an Agent. Client, Self and Build are required.
type Options struct {
	Client     Control
	Self       fleet.Instance
	Part       logging.Part
	Registerer prometheus.Registerer // nil disables the registration of metrics
	Recorder   timeline.Recorder     // nil disables events
	// Build builds a tree from all documents; see settings.Build.
	Build func(documents []*pb.SubtreeDocument, index uint64) (*settings.Tree, error)
	// Change returns a copy of the tree with one subtree replaced, without
	// parsing the others; see settings.CheckChange. If nil, Build is used.
	Change func(tree *settings.Tree, name string, yaml []byte) (*settings.Tree, error)
	Now    func() time.Time // nil means time.Now
}

// ErrFenced is the error of Run when the control group has ended this process's
// membership: its lease was ended, or a later incarnation has joined. The process
// must not continue under its incarnation.
var ErrFenced = errors.New("the control group has fenced this incarnation")

// Defaults before the fleet subtree is known.
const (
	defaultInstanceLease = 2 * time.Second
	defaultSettingsLease = 3 * time.Second
)

// Timing and limits of an Agent.
const (
	renewalsPerLease       = 4
	failedRenewalsPerLease = 20 // renewal rate after a failed renewal
	longPollWait           = 20 * time.Second
	pullDelayAfterChange   = 200 * time.Millisecond // batches a burst of changes into one reply
	minPullBackoff         = 50 * time.Millisecond
	maxPullBackoff         = 2 * time.Second
	minRenewalTimeout      = 500 * time.Millisecond // minimum timeout of one renewal
	maxUnconfirmed         = 64                     // granted renewals whose index is not applied yet
)
