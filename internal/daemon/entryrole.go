package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/crashboard"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/provision"
	"github.com/hyssopsail/hyssopsail/internal/quarantine"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/tunnel"
)

// entryRole serves callers and endpoints and routes requests.
type entryRole struct {
	home       *endpoint.Home
	follower   *endpoint.HomeClient
	ledger     *outcome.Service
	quarantine *quarantine.Service
	crashes    *crashboard.Client
	partPoller *crashboard.PartPoller
	router     *route.Router
	tunnels    *tunnel.Server
	budget     *retrybudget.Budget
	provision  *provision.Service
}

func newEntryRole(b *base) (*entryRole, error) {
	e := &entryRole{}
	tlsConfig, err := rpc.ClientTLS(b.config.EndpointAuthority)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	links := reachability.New(reachability.Options{Part: newPart(b.logger, "reachability"), Metrics: b.registry})
	reads := readlimit.NewGuard(readlimit.GuardOptions{Peers: readlimit.Endpoints, Warn: newPart(b.logger, "reads").Warn, Metrics: readlimit.NewMetrics(b.registry)})
	client := engine.NewClient(engine.Options{
		Reads:        reads,
		TLS:          tlsConfig,
		Owner:        b.self.Owner(),
		Part:         newPart(b.logger, "engine"),
		LocalIP:      b.localIP,
		Reachability: links,
		Relay:        newTunnelClient(b),
		Registerer:   b.registry,
	})
	e.tunnels = newTunnelServer(b, links)
	e.initHome(b, client)
	e.initProvision(b, client)
	e.initOutcomes(b)
	policies := newPolicies(b)
	e.budget = retrybudget.New(time.Now(), b.config.Retries.Limits())
	e.router = route.New(route.Options{
		Source:       b.agent,
		Follower:     e.provision.Follower(),
		Engine:       client,
		Ledger:       e.ledger,
		Guard:        e.quarantine,
		Parts:        e.crashes,
		Admission:    admission.New(admission.Options{Random: newRandom(b)}),
		Budget:       e.budget,
		Policies:     policies.choose,
		Prefill:      policies.prefill,
		Links:        policies.links,
		Recorder:     b.timelineRing,
		PrefixHashes: schedule.Prefixes,
		Secret:       b.secret[:],
		Seed:         uint64(b.self.Incarnation),
		Logger:       newPart(b.logger, "route"),
		Registerer:   b.registry,
		Bounds:       route.Bounds{MaxRequestDuration: b.config.Bounds.StreamTime},
	})
	return e, trace.Wrap(e.register(b))
}

func newRandom(b *base) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(b.self.Incarnation), uint64(time.Now().UnixNano())))
}

func (e *entryRole) initHome(b *base, client engine.Client) {
	e.home = endpoint.NewHome(endpoint.HomeOptions{
		Source:     b.agent,
		Engine:     client,
		Dialer:     b.pool,
		Recorder:   b.timelineRing,
		Part:       newPart(b.logger, "home"),
		Registerer: b.registry,
		Seed:       uint64(b.self.Incarnation),
		ReportCrash: func(ctx context.Context, report *pb.ReportCrash) error {
			_, err := b.client.Crash(ctx, report)
			return err
		},
		CheckKey: func(key string) bool { return endpointKeyMatches(b, key) },
		Running:  e.attemptRunning,
	})
	e.follower = endpoint.NewFollower(endpoint.FollowerOptions{
		Source:     b.agent,
		Dialer:     b.pool,
		Home:       e.home,
		Recorder:   b.timelineRing,
		Part:       newPart(b.logger, "follower"),
		Registerer: b.registry,
		Seed:       uint64(b.self.Incarnation),
	})
}

func (e *entryRole) initOutcomes(b *base) {
	e.quarantine = quarantine.NewService(quarantine.Options{
		Source:     b.agent,
		Dialer:     b.pool,
		Seed:       uint64(b.self.Incarnation),
		Part:       newPart(b.logger, "quarantine"),
		Recorder:   b.timelineRing,
		Registerer: b.registry,
	})
	e.crashes = crashboard.NewClient(crashboard.Options{
		Dialer:  b.pool,
		Members: b.controlAddresses,
		Part:    newPart(b.logger, "crashes"),
		Metrics: b.registry,
	})
	e.partPoller = crashboard.NewPartPoller(e.crashes, uint64(b.self.Incarnation))
	e.ledger = outcome.NewService(outcome.Options{
		Source: b.agent,
		Dialer: b.pool,
		ReportReady: func(ctx context.Context, ready *pb.LedgerReady) error {
			_, err := b.client.Ready(ctx, ready)
			return err
		},
		RunGuard:   e.quarantine,
		Seed:       uint64(b.self.Incarnation),
		Part:       newPart(b.logger, "ledger"),
		Recorder:   b.timelineRing,
		Registerer: b.registry,
	})
}

func (e *entryRole) register(b *base) error {
	if err := pb.DRPCRegisterHome(b.rpc.Mux, e.provision.Home()); err != nil {
		return trace.Wrap(err)
	}
	if err := pb.DRPCRegisterProvision(b.rpc.Mux, e.provision.Server()); err != nil {
		return trace.Wrap(err)
	}
	if err := pb.DRPCRegisterTunnel(b.rpc.Mux, e.tunnels); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(pb.DRPCRegisterLedger(b.rpc.Mux, e.ledger.Server()))
}

// entryCountInterval is the pause between two updates of the number of entries that
// share the retry budget: a tenth of the shortest window.
const entryCountInterval = 100 * time.Millisecond

// updateEntryCount keeps the number of entries in the retry budget up to date while this
// daemon holds its lease. Without the lease, other instances may treat this daemon as
// removed.
func (e *entryRole) updateEntryCount(ctx context.Context, source membership.Source) error {
	for sleep.For(ctx, entryCountInterval) {
		if now := time.Now(); source.Current(now) {
			e.budget.SetEntries(now, max(1, source.State().View.CountEntries()))
		}
	}
	return nil
}

func (e *entryRole) start(group *errgroup.Group, work context.Context, source membership.Source) {
	group.Go(func() error { return e.updateEntryCount(work, source) })
	group.Go(func() error { return e.home.Run(work) })
	group.Go(func() error { return e.follower.Run(work) })
	group.Go(func() error { return e.provision.Run(work) })
	group.Go(func() error { return e.ledger.Run(work) })
	group.Go(func() error { return e.quarantine.Run(work) })
	group.Go(func() error { return e.partPoller.Run(work) })
}
