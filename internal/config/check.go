package config

import (
	"net/netip"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Ranges of Bounds and Retries.
const (
	minHeaderBytes settings.ByteSize = 4e3
	maxHeaderBytes settings.ByteSize = 1e6
	minBodyBytes   settings.ByteSize = 1e3
	maxBodyBytes   settings.ByteSize = 1e9
	maxConnections                   = 1_000_000
	minIdleTimeout                   = time.Second
	maxIdleTimeout                   = time.Hour
	maxStreamTime                    = 24 * time.Hour
	maxRetryRatio                    = 10
	maxRetrySlack                    = 1_000_000
	minRetryWindow                   = time.Second
	maxRetryWindow                   = 10 * time.Minute
)

type checker struct {
	daemon   *Daemon
	document *strictyaml.Document
}

func check(d *Daemon, document *strictyaml.Document) {
	c := checker{d, document}
	c.name("instance_id", string(d.InstanceID))
	c.name("availability_zone", string(d.AvailabilityZone))
	c.roles()
	c.dataFolder()
	c.controlAddresses()
	c.listener("listeners.rpc", &d.Listeners.RPC, true)
	c.listener("listeners.operators", &d.Listeners.Operators, true)
	c.listener("listeners.callers", &d.Listeners.Callers, d.Has(RoleEntry))
	c.listener("listeners.endpoints", &d.Listeners.Endpoints, d.Has(RoleEntry))
	c.certificateUnused("listeners.rpc", d.Listeners.RPC)
	c.certificateUnused("listeners.operators", d.Listeners.Operators)
	c.certificatePair("listeners.callers", d.Listeners.Callers)
	c.certificatePair("listeners.endpoints", d.Listeners.Endpoints)
	c.endpointAuthority()
	c.distinctListeners()
	c.requiredFile("tls.authority", d.TLS.Authority)
	c.requiredFile("tls.certificate", d.TLS.Certificate)
	c.requiredFile("tls.key", d.TLS.Key)
	c.requiredFile("fleet_secret_file", d.FleetSecretFile)
	c.logLevel()
	c.bounds()
	c.retries()
}

func (c checker) name(path, name string) {
	if !settings.ValidName(name) {
		c.document.Fault(path, "write "+settings.NameRule, "%q is not a name", name)
	}
}

func (c checker) requiredFile(path, name string) {
	if name == "" {
		c.document.Fault(path, `name a file; "hyssopsail certs" writes a working set`, "is missing")
	}
}

func (c checker) roles() {
	if len(c.daemon.Roles) == 0 {
		c.document.Fault("roles", "list entry, control or both", "the daemon has no role")
	}
	seen := map[Role]bool{}
	for n, role := range c.daemon.Roles {
		path := strictyaml.Index("roles", n)
		if role != RoleEntry && role != RoleControl {
			c.document.Fault(path, "choose entry or control", "%q is not a role", string(role))
		}
		if seen[role] {
			c.document.Fault(path, "keep one of them", "the same role stands here again")
		}
		seen[role] = true
	}
}

func (c checker) dataFolder() {
	control := c.daemon.Has(RoleControl)
	switch {
	case control && c.daemon.DataFolder == "":
		c.document.Fault("data_folder", "name the folder for the daemon's state", "is missing, and the role control needs it")
	case !control && c.document.Has("data_folder"):
		c.document.Fault("data_folder", "take it out, or add the role control", "would be ignored without the role control")
	}
}

// controlAddresses checks the addresses of the control instances. Every daemon
// needs them to renew its lease, a control instance too: it renews at the leader.
func (c checker) controlAddresses() {
	if len(c.daemon.ControlAddresses) == 0 {
		c.document.Fault("control_addresses", "list the rpc addresses of the control instances", "has no item")
	}
	seen := map[string]bool{}
	for n, address := range c.daemon.ControlAddresses {
		path := strictyaml.Index("control_addresses", n)
		c.dialable(path, address)
		if seen[address] {
			c.document.Fault(path, "keep one of them", "the same address stands here again")
		}
		seen[address] = true
	}
}

func (c checker) listener(path string, l *Listener, used bool) {
	if !used {
		if c.document.Has(path) {
			c.document.Fault(path, "take it out, or add the role entry", "would be ignored without the role entry")
		}
		return
	}
	listenPath, advertisePath := strictyaml.Key(path, "listen"), strictyaml.Key(path, "advertise")
	if l.Listen == "" {
		c.document.Fault(listenPath, "write ip:port, such as 10.1.0.5:7400", "is missing")
		return
	}
	address, err := netip.ParseAddrPort(l.Listen)
	if err != nil {
		c.document.Fault(listenPath, "write ip:port, such as 10.1.0.5:7400", "%q is not an IP number and port", l.Listen)
		return
	}
	if l.Advertise == "" {
		l.Advertise = l.Listen
		advertisePath = listenPath
	}
	// With port 0 the kernel chooses a port, and the daemon advertises that one.
	if l.Advertise == l.Listen && address.Port() == 0 && !address.Addr().IsUnspecified() {
		return
	}
	c.dialable(advertisePath, l.Advertise)
}

// certificateUnused reports a certificate or key of a listener that doesn't use them.
func (c checker) certificateUnused(path string, l Listener) {
	if l.Certificate != "" || l.Key != "" {
		c.document.Fault(path, "take certificate and key out", "would be ignored: this listener uses the files below tls")
	}
}

// certificatePair reports a certificate without a key or the reverse.
func (c checker) certificatePair(path string, l Listener) {
	if (l.Certificate == "") != (l.Key == "") {
		c.document.Fault(path, "name both certificate and key, or neither for plain HTTP", "has one of certificate and key")
	}
}

func (c checker) endpointAuthority() {
	if c.daemon.EndpointAuthority != "" && !c.daemon.Has(RoleEntry) {
		c.document.Fault("endpoint_authority", "take it out, or add the role entry", "would be ignored without the role entry")
	}
}

// dialable reports an address that others couldn't dial as a fault: a host name,
// or an unspecified or multicast address.
func (c checker) dialable(path, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		c.document.Fault(path, "write ip:port, such as 10.1.0.5:7400", "%q is not an IP number and port", text)
		return
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		c.document.Fault(path, "write the IP number that others reach; set advertise beside listen", "%q can't be dialled", text)
	}
}

func (c checker) distinctListeners() {
	seen := map[string]string{}
	all := []struct {
		path     string
		listener Listener
	}{
		{"listeners.rpc", c.daemon.Listeners.RPC},
		{"listeners.callers", c.daemon.Listeners.Callers},
		{"listeners.endpoints", c.daemon.Listeners.Endpoints},
		{"listeners.operators", c.daemon.Listeners.Operators},
	}
	for _, l := range all {
		address, err := netip.ParseAddrPort(l.listener.Listen)
		if err != nil || address.Port() == 0 {
			continue
		}
		if first, taken := seen[l.listener.Listen]; taken {
			c.document.Fault(l.path, "give each listener its own port", "listens where %s does", first)
		}
		seen[l.listener.Listen] = l.path
	}
}

func (c checker) logLevel() {
	switch c.daemon.LogLevel {
	case logging.LevelDebug, logging.LevelInfo, logging.LevelWarn, logging.LevelError:
	default:
		c.document.Fault("log_level", "choose debug, info, warn or error", "%q is not a level", string(c.daemon.LogLevel))
	}
}

func (c checker) bounds() {
	b := c.daemon.Bounds
	c.checkRange("bounds.header_bytes", b.HeaderBytes >= minHeaderBytes && b.HeaderBytes <= maxHeaderBytes, "from 4KB to 1MB")
	c.checkRange("bounds.body_bytes", b.BodyBytes >= minBodyBytes && b.BodyBytes <= maxBodyBytes, "from 1KB to 1GB")
	c.checkRange("bounds.connections", b.Connections >= 1 && b.Connections <= maxConnections, "from 1 to 1000000")
	c.checkRange("bounds.idle_timeout", b.IdleTimeout >= minIdleTimeout && b.IdleTimeout <= maxIdleTimeout, "from 1s to 1h")
	c.checkRange("bounds.stream_time", b.StreamTime >= minIdleTimeout && b.StreamTime <= maxStreamTime, "from 1s to 24h")
}

func (c checker) retries() {
	r := c.daemon.Retries
	if r != DefaultDaemon().Retries && !c.daemon.Has(RoleEntry) {
		c.document.Fault("retries", "take it out, or add the role entry", "would be ignored without the role entry")
	}
	c.checkRange("retries.ratio", r.Ratio >= 0 && r.Ratio <= maxRetryRatio, "from 0 to 10")
	c.checkRange("retries.slack", r.Slack >= 0 && r.Slack <= maxRetrySlack, "from 0 to 1000000")
	c.checkRange("retries.window", r.Window >= minRetryWindow && r.Window <= maxRetryWindow, "from 1s to 10m")
}

func (c checker) checkRange(path string, inRange bool, want string) {
	if !inRange {
		c.document.Fault(path, "choose "+want, "is out of range")
	}
}
