package engineapi

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits on the fields of an announcement.
const (
	maxNameBytes = 256
	maxModels    = 256
	maxSlots     = 1 << 16
)

// Check returns an error unless the announcement is valid: names and lists are
// within their limits, the address is host:port, and the role is known and has
// the service or models that it needs.
func (a Announcement) Check() error {
	if !isValidName(string(a.ID)) || !isValidName(string(a.Zone)) {
		return trace.BadParameter("endpoint ID or availability zone is empty or too long")
	}
	if a.Incarnation == 0 {
		return trace.BadParameter("endpoint %q has no incarnation", a.ID)
	}
	if err := checkAddress(a.Address); err != nil {
		return trace.Wrap(err, "endpoint %q", a.ID)
	}
	if a.Slots < 1 || a.Slots > maxSlots || a.KVBytes < 0 {
		return trace.BadParameter("endpoint %q has %d slots and %d bytes", a.ID, a.Slots, a.KVBytes)
	}
	if len(a.Software) > maxNameBytes {
		return trace.BadParameter("endpoint %q has a software version of %d bytes", a.ID, len(a.Software))
	}
	return a.checkRole()
}

// checkRole checks the role, and the service or models that go with it.
func (a Announcement) checkRole() error {
	switch a.Role {
	case fleet.RolePlain:
		if !isValidName(a.Service) {
			return trace.BadParameter("plain endpoint %q names no service", a.ID)
		}
		return nil
	case fleet.RolePrefill, fleet.RoleDecode, fleet.RoleBoth:
		return a.checkModels()
	}
	return trace.BadParameter("endpoint %q has an unknown role", a.ID)
}

func (a Announcement) checkModels() error {
	if len(a.Models) > maxModels {
		return trace.BadParameter("endpoint %q has %d models", a.ID, len(a.Models))
	}
	for _, m := range a.Models {
		if !isValidName(m.Model) || !isValidName(m.Version) || len(m.Adapter) > maxNameBytes {
			return trace.BadParameter("endpoint %q has a model without name or version", a.ID)
		}
	}
	return nil
}

func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("address is not host:port")
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !isValidHost(host) || net.JoinHostPort(host, port) != address {
		return trace.BadParameter("address %q can't be called", address)
	}
	return nil
}

func isValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// isValidHost reports whether host has only characters of host names and IP
// addresses, so that it can't change the meaning of a URL that contains it.
func isValidHost(host string) bool {
	if host == "" || len(host) > maxNameBytes {
		return false
	}
	if strings.Contains(host, ":") {
		number, err := netip.ParseAddr(host)
		return err == nil && number.Zone() == ""
	}
	for _, r := range host {
		switch {
		case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z':
		case r == '.', r == '-':
		default:
			return false
		}
	}
	return true
}

// IsValidAddress reports whether address is a valid host:port.
func IsValidAddress(address string) bool { return checkAddress(address) == nil }
