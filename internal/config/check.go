package config

import (
	"net/netip"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Ranges of the bounds.
const (
	minHeaderBytes settings.ByteSize = 4e3
	maxHeaderBytes settings.ByteSize = 1e6
	minBodyBytes   settings.ByteSize = 1e3
	maxBodyBytes   settings.ByteSize = 1e9
	maxConnections                   = 1_000_000
	minIdle                          = time.Second
	maxIdle                          = time.Hour
	maxStream                        = 24 * time.Hour
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
	c.noOwnCertificate("listeners.rpc", d.Listeners.RPC)
	c.noOwnCertificate("listeners.operators", d.Listeners.Operators)
	c.ownCertificate("listeners.callers", d.Listeners.Callers)
	c.ownCertificate("listeners.endpoints", d.Listeners.Endpoints)
	c.endpointAuthority()
	c.distinctListeners()
	c.file("tls.authority", d.TLS.Authority)
	c.file("tls.certificate", d.TLS.Certificate)
	c.file("tls.key", d.TLS.Key)
	c.file("fleet_secret_file", d.FleetSecretFile)
	c.logLevel()
	c.bounds()
	c.retries()
}

func (c checker) name(path, name string) {
	if !settings.ValidName(name) {
		c.document.Fault(path, "write "+settings.NameRule, "%q is not a name", name)
	}
}

func (c checker) file(path, name string) {
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

// controlAddresses are needed by each daemon: entries renew their lease there,
// and a control instance's own lease goes to whichever is the leader.
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
	// Port 0 lets the kernel choose; the daemon then advertises what it got.
	if l.Advertise == l.Listen && address.Port() == 0 && !address.Addr().IsUnspecified() {
		return
	}
	c.dialable(advertisePath, l.Advertise)
}

func (c checker) noOwnCertificate(path string, l Listener) {
	if l.Certificate != "" || l.Key != "" {
		c.document.Fault(path, "take certificate and key out", "would be ignored: this listener uses the files below tls")
	}
}

func (c checker) ownCertificate(path string, l Listener) {
	if (l.Certificate == "") != (l.Key == "") {
		c.document.Fault(path, "name both certificate and key, or neither for plain HTTP", "has one of certificate and key")
	}
}

func (c checker) endpointAuthority() {
	if c.daemon.EndpointAuthority != "" && !c.daemon.Has(RoleEntry) {
		c.document.Fault("endpoint_authority", "take it out, or add the role entry", "would be ignored without the role entry")
	}
}

// dialable refuses what others couldn't dial: names, and "any" addresses.
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
	for _, one := range all {
		address, err := netip.ParseAddrPort(one.listener.Listen)
		if err != nil || address.Port() == 0 {
			continue
		}
		if first, taken := seen[one.listener.Listen]; taken {
			c.document.Fault(one.path, "give each listener its own port", "listens where %s does", first)
		}
		seen[one.listener.Listen] = one.path
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
	c.within("bounds.header_bytes", b.HeaderBytes >= minHeaderBytes && b.HeaderBytes <= maxHeaderBytes, "from 4KB to 1MB")
	c.within("bounds.body_bytes", b.BodyBytes >= minBodyBytes && b.BodyBytes <= maxBodyBytes, "from 1KB to 1GB")
	c.within("bounds.connections", b.Connections >= 1 && b.Connections <= maxConnections, "from 1 to 1000000")
	c.within("bounds.idle_timeout", b.IdleTimeout >= minIdle && b.IdleTimeout <= maxIdle, "from 1s to 1h")
	c.within("bounds.stream_time", b.StreamTime >= minIdle && b.StreamTime <= maxStream, "from 1s to 24h")
}

func (c checker) retries() {
	r := c.daemon.Retries
	if r != DefaultDaemon().Retries && !c.daemon.Has(RoleEntry) {
		c.document.Fault("retries", "take it out, or add the role entry", "would be ignored without the role entry")
	}
	c.within("retries.ratio", r.Ratio >= 0 && r.Ratio <= maxRetryRatio, "from 0 to 10")
	c.within("retries.slack", r.Slack >= 0 && r.Slack <= maxRetrySlack, "from 0 to 1000000")
	c.within("retries.window", r.Window >= minRetryWindow && r.Window <= maxRetryWindow, "from 1s to 10m")
}

func (c checker) within(path string, holds bool, want string) {
	if !holds {
		c.document.Fault(path, "choose "+want, "is out of range")
	}
}
