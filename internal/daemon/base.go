package daemon

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
	"github.com/hyssopsail/hyssopsail/internal/version"
)

// base holds the parts that every daemon has, whatever its roles.
type base struct {
	config       config.Daemon
	logger       log.Logger
	part         logging.Part
	self         fleet.Instance
	secret       config.Secret
	listeners    listeners
	localIP      net.IP // of outgoing connections; nil: chosen by the kernel
	registry     *prometheus.Registry
	timelineRing *timeline.Ring
	pool         *rpc.Pool
	rpc          *rpc.Server
	client       *control.Client
	agent        *membership.Agent
}

func newBase(cfg config.Daemon, logger log.Logger, opened listeners, incarnation fleet.Incarnation) (*base, error) {
	secret, err := config.LoadSecret(cfg.FleetSecretFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	tlsConfig, err := rpc.LoadTLS(cfg.RPCFiles())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b := &base{
		config:    cfg,
		logger:    logger,
		part:      newPart(logger, partName),
		self:      cfg.Instance(incarnation),
		secret:    secret,
		listeners: opened,
		registry:  newRegistry(),
	}
	for name, t := range opened.byteCounters {
		registerByteCounters(b.registry, name, t)
	}
	clock := timeline.NewClock(time.Now)
	b.timelineRing = timeline.NewRing(timeline.DefaultRingSize, clock, b.self.Owner())
	b.pool = rpc.NewPool(tlsConfig, clock)
	metrics := rpc.NewMetrics(b.registry)
	b.pool.SetMetrics(metrics)
	if address, ok := opened.rpc.Addr().(*net.TCPAddr); ok && !address.IP.IsUnspecified() {
		b.localIP = address.IP
		b.pool.SetLocalIP(address.IP)
	}
	b.rpc = rpc.NewServer(tlsConfig, clock, newPart(logger, "rpc"))
	b.rpc.SetMetrics(metrics)
	if err := pb.DRPCRegisterTimeline(b.rpc.Mux, timeline.NewService(b.timelineRing)); err != nil {
		return nil, trace.Wrap(err)
	}
	b.client = control.NewClient(b.pool, b.controlAddresses, newPart(logger, "control-client"))
	b.agent = membership.NewAgent(membership.Options{
		Client:     b.client,
		Self:       b.self,
		Part:       newPart(logger, "membership"),
		Registerer: b.registry,
		Recorder:   b.timelineRing,
		Build:      settings.Build,
		Change:     settings.CheckChange,
	})
	return b, nil
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		version.NewMetric(),
	)
	return registry
}

// controlAddresses returns the control addresses of the configuration file,
// followed by those of control instances that joined later.
func (b *base) controlAddresses() []string {
	addresses := append([]string(nil), b.config.ControlAddresses...)
	if b.agent == nil {
		return addresses
	}
	known := make(map[string]struct{}, len(addresses))
	for _, a := range addresses {
		known[a] = struct{}{}
	}
	for _, instance := range b.agent.State().View.Instances {
		if _, ok := known[instance.RPCAddress]; instance.Control && !ok {
			addresses = append(addresses, instance.RPCAddress)
		}
	}
	return addresses
}

func (b *base) close() {
	b.listeners.close()
	_ = b.pool.Close() // an error closing connections to peers loses nothing
}
