package routetable

import (
	"net"
	"slices"
	"strings"
)

// Table finds the route of an exchange. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
}

// Compile makes the table of a checked document.
func Compile(d *Document) *Table {
	t := &Table{Version: d.Version, Limits: d.Limits, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match gives the route with the longest prefix that begins path, nil when
// none does. A port in host is passed over.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service gives a service by name, nil when it is unknown.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Choose picks a service of the route by weight; point is drawn evenly from
// [0, 1).
func (r *Route) Choose(point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	rest := point * total
	for _, b := range r.Backends {
		if rest -= b.Weight; rest < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
