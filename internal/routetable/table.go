package routetable

import (
	"net"
	"slices"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Table finds the route of an exchange. It is immutable and safe for concurrent use.
type Table struct {
	Version       int64
	Limits        Limits
	routes        map[routeKey]*Route
	prefixLengths map[string][]int // lengths of each host's prefixes, longest first
	services      map[string]*Service
	// teamsByKey holds the teams by the hashes of their keys; nil if callers need no key.
	teamsByKey map[keyhash.Hash]*Team
}

// Compile returns the table of a checked document.
func Compile(d *Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, routes: make(map[routeKey]*Route, len(d.Routes)),
		prefixLengths: map[string][]int{}, services: make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		t.addRoute(&d.Routes[i])
	}
	t.teamsByKey = indexTeamsByKey(d.Teams)
	return t
}

func indexTeamsByKey(teams []Team) map[keyhash.Hash]*Team {
	if teams == nil {
		return nil
	}
	teamsByKey := map[keyhash.Hash]*Team{}
	for i := range teams {
		for _, key := range teams[i].Keys {
			teamsByKey[key] = &teams[i]
		}
	}
	return teamsByKey
}

func (t *Table) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	key := routeKey{host: host, prefix: r.Prefix}
	if t.routes[key] != nil {
		return // a checked document has no duplicates
	}
	t.routes[key] = r
	lengths := t.prefixLengths[host]
	i, found := slices.BinarySearchFunc(lengths, len(r.Prefix), func(a, b int) int { return b - a })
	if !found {
		t.prefixLengths[host] = slices.Insert(lengths, i, len(r.Prefix))
	}
}

// Match returns the route with the longest prefix of path, or nil if there is none. A port in
// host is ignored.
//
// It takes one lookup for each length of the host's prefixes, not one for each route.
func (t *Table) Match(host, path string) *Route {
	key := routeKey{host: hostName(host)}
	for _, length := range t.prefixLengths[key.host] {
		if length > len(path) {
			continue
		}
		key.prefix = path[:length]
		if r := t.routes[key]; r != nil {
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

// NeedsKey reports whether a request on a route must present a key.
func (t *Table) NeedsKey(r *Route) bool { return t.teamsByKey != nil && !r.Anonymous }

// TeamOf returns the team that holds a key, or nil if there is none. It takes one lookup,
// regardless of the number of keys.
func (t *Table) TeamOf(key keyhash.Hash) *Team { return t.teamsByKey[key] }

// Service returns a service by name, or nil if it is unknown.
func (t *Table) Service(name string) *Service { return t.services[name] }

// SoleBackend returns the service to which all requests of the route go; ok is false if there are
// several.
func (r *Route) SoleBackend() (service string, ok bool) {
	for _, b := range r.Backends {
		switch {
		case b.Weight <= 0 || b.Service == service:
		case service != "":
			return "", false
		default:
			service = b.Service
		}
	}
	return service, service != ""
}

// HasBackend reports whether requests of the route may go to a service.
func (r *Route) HasBackend(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// ChooseService picks a service of the route by weight; point is uniformly distributed in [0, 1).
func (r *Route) ChooseService(point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := point * total
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
