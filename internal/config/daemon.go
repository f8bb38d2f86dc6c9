package config

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Daemon is the daemon's own file.
type Daemon struct {
	InstanceID       fleet.InstanceID       `yaml:"instance_id"`
	AvailabilityZone fleet.AvailabilityZone `yaml:"availability_zone"`
	Roles            []Role                 `yaml:"roles"`             // at least one
	DataFolder       string                 `yaml:"data_folder"`       // control only
	ControlAddresses []string               `yaml:"control_addresses"` // ip:port of control instances, rpc listeners
	Listeners        Listeners              `yaml:"listeners"`
	TLS              TLS                    `yaml:"tls"`
	FleetSecretFile  string                 `yaml:"fleet_secret_file"` // SecretBytes random bytes as hex
	// EndpointAuthority is a PEM file: endpoints are then called by HTTPS and
	// must show a certificate of this authority for their IP number. Without it
	// they are called by plain HTTP. Entry only.
	EndpointAuthority string        `yaml:"endpoint_authority"`
	LogLevel          logging.Level `yaml:"log_level"` // default info
	Bounds            Bounds        `yaml:"bounds"`
	Retries           Retries       `yaml:"retries"` // entry only
}

// Role is a job of the daemon.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"   // serves callers and endpoints, routes
	RoleControl Role = "control" // votes; has a data folder
)

// Listeners are the addresses that the daemon serves. RPC and Operators are
// required; Callers and Endpoints belong to the entry role.
type Listeners struct {
	RPC       Listener `yaml:"rpc"`
	Callers   Listener `yaml:"callers"`
	Endpoints Listener `yaml:"endpoints"`
	Operators Listener `yaml:"operators"`
}

// Listener is one TCP listener. Both are ip:port; Advertise is what others are
// told to dial and defaults to Listen. Certificate and Key are PEM files for
// HTTPS on the callers' and endpoints' listeners; without both these speak
// plain HTTP. The other two listeners always use the files below tls.
type Listener struct {
	Listen      string `yaml:"listen"`
	Advertise   string `yaml:"advertise"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Secure tells whether the listener has its own certificate.
func (l Listener) Secure() bool { return l.Certificate != "" }

// TLS names the PEM files for connections between processes.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Bounds limit what one connection or body may use of the daemon.
type Bounds struct {
	HeaderBytes settings.ByteSize `yaml:"header_bytes"` // default 64KB
	BodyBytes   settings.ByteSize `yaml:"body_bytes"`   // default 64MB; a team's own limit may be lower
	Connections int               `yaml:"connections"`  // for each listener, default 10000
	IdleTimeout time.Duration     `yaml:"idle_timeout"` // default 60s
	StreamTime  time.Duration     `yaml:"stream_time"`  // longest answer, default 10m
}

// Retries bound how often the fleet's entries send requests again. They must be the same
// for all of them: each entry keeps to its part. A daemon that has just started sends
// requests again by the ratio alone until its first window is over.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`  // arrivals beyond the first for each request, default 0.2
	Slack  float64       `yaml:"slack"`  // arrivals beyond the first that are allowed besides, default 100
	Window time.Duration `yaml:"window"` // over which both are counted, default 10s
}

// Limits gives the bound as package retrybudget takes it.
func (r Retries) Limits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window}
}

// DefaultDaemon is what a file starts from.
func DefaultDaemon() Daemon {
	return Daemon{
		LogLevel: logging.LevelInfo,
		Bounds: Bounds{
			HeaderBytes: 64e3,
			BodyBytes:   64e6,
			Connections: 10_000,
			IdleTimeout: time.Minute,
			StreamTime:  10 * time.Minute,
		},
		Retries: Retries{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}
}

// Has tells whether the daemon has a role.
func (d Daemon) Has(role Role) bool {
	for _, r := range d.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// RPCFiles gives the TLS files as package rpc takes them.
func (d Daemon) RPCFiles() rpc.Files {
	return rpc.Files{Authority: d.TLS.Authority, Certificate: d.TLS.Certificate, Key: d.TLS.Key}
}

// Instance describes the daemon as the view is to hold it, at an incarnation.
func (d Daemon) Instance(incarnation fleet.Incarnation) fleet.Instance {
	return fleet.Instance{
		ID:              d.InstanceID,
		Incarnation:     incarnation,
		Zone:            d.AvailabilityZone,
		RPCAddress:      d.Listeners.RPC.Advertise,
		CallerAddress:   d.Listeners.Callers.Advertise,
		EndpointAddress: d.Listeners.Endpoints.Advertise,
		OperatorAddress: d.Listeners.Operators.Advertise,
		Entry:           d.Has(RoleEntry),
		Control:         d.Has(RoleControl),
	}
}
