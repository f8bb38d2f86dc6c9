package config

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Daemon is the configuration file of a daemon.
type Daemon struct {
	InstanceID       fleet.InstanceID       `yaml:"instance_id"`
	AvailabilityZone fleet.AvailabilityZone `yaml:"availability_zone"`
	Roles            []Role                 `yaml:"roles"`             // at least one
	DataFolder       string                 `yaml:"data_folder"`       // control only
	ControlAddresses []string               `yaml:"control_addresses"` // ip:port of the control instances' rpc listeners
	Listeners        Listeners              `yaml:"listeners"`
	TLS              TLS                    `yaml:"tls"`
	FleetSecretFile  string                 `yaml:"fleet_secret_file"` // SecretBytes random bytes as hex
	// EndpointAuthority is a PEM file. If it is set, endpoints are called by HTTPS
	// and must present a certificate of this authority for their IP address; if
	// not, they are called by plain HTTP. Entry only.
	EndpointAuthority string        `yaml:"endpoint_authority"`
	LogLevel          logging.Level `yaml:"log_level"` // default info
	Bounds            Bounds        `yaml:"bounds"`
	Retries           Retries       `yaml:"retries"` // entry only
}

// Role is a function that a daemon performs.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"   // serves callers and endpoints, routes requests
	RoleControl Role = "control" // votes in the control group; has a data folder
)

// Listeners are the addresses that the daemon listens on. RPC and Operators are
// required; Callers and Endpoints belong to the entry role.
type Listeners struct {
	RPC       Listener `yaml:"rpc"`
	Callers   Listener `yaml:"callers"`
	Endpoints Listener `yaml:"endpoints"`
	Operators Listener `yaml:"operators"`
}

// Listener is one TCP listener. Listen and Advertise are ip:port; Advertise is
// the address that others dial and defaults to Listen. Certificate and Key are
// PEM files for HTTPS on the callers' and endpoints' listeners, which use plain
// HTTP without them. The other two listeners always use the files under tls.
type Listener struct {
	Listen      string `yaml:"listen"`
	Advertise   string `yaml:"advertise"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Secure reports whether the listener has its own certificate.
func (l Listener) Secure() bool { return l.Certificate != "" }

// TLS names the PEM files for connections between processes.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Bounds limit the daemon's resources that connections and bodies may use.
type Bounds struct {
	HeaderBytes settings.ByteSize `yaml:"header_bytes"` // default 64KB
	BodyBytes   settings.ByteSize `yaml:"body_bytes"`   // default 64MB; a team's own limit may be lower
	Connections int               `yaml:"connections"`  // per listener, default 10000
	IdleTimeout time.Duration     `yaml:"idle_timeout"` // default 60s
	StreamTime  time.Duration     `yaml:"stream_time"`  // maximum duration of an answer, default 10m
}

// Retries limit how often the fleet's entries send requests again. They must be the same
// for all entries, each of which keeps to its share. In its first window after the start
// a daemon sends requests again within Ratio alone.
type Retries struct {
	Ratio  float64       `yaml:"ratio"`  // arrivals beyond the first per request, default 0.2
	Slack  float64       `yaml:"slack"`  // arrivals beyond the first allowed in addition to Ratio, default 100
	Window time.Duration `yaml:"window"` // period over which both are counted, default 10s
}

// Limits returns the limits in the form that package retrybudget uses.
func (r Retries) Limits() retrybudget.Limits {
	return retrybudget.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window}
}

// DefaultDaemon returns the values of a file before it is decoded.
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

// Has reports whether the daemon has a role.
func (d Daemon) Has(role Role) bool {
	for _, r := range d.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// RPCFiles returns the TLS files in the form that package rpc uses.
func (d Daemon) RPCFiles() rpc.TLSFiles {
	return rpc.TLSFiles{Authority: d.TLS.Authority, Certificate: d.TLS.Certificate, Key: d.TLS.Key}
}

// Instance returns the daemon's entry for the view, at an incarnation.
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
