package routetable

import (
	"net"
	"slices"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Table finds the route of an exchange. It is immutable.
type Table struct {
	Version  int64
	Limits   Limits
	routes   map[place]*Route
	lengths  map[string][]int // of the prefixes of each host, longest first
	services map[string]*Service
	// teams are those of a document that has keys, by the hashes of these; nil
	// where callers need none.
	teams map[keyhash.Hash]*Team
}

// Compile makes the table of a checked document.
func Compile(d *Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, routes: make(map[place]*Route, len(d.Routes)),
		lengths: map[string][]int{}, services: make(map[string]*Service, len(d.Services)),
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		t.add(&d.Routes[i])
	}
	t.teams = byKey(d.Teams)
	return t
}

func byKey(teams []Team) map[keyhash.Hash]*Team {
	if teams == nil {
		return nil
	}
	owners := map[keyhash.Hash]*Team{}
	for i := range teams {
		for _, key := range teams[i].Keys {
			owners[key] = &teams[i]
		}
	}
	return owners
}

func (t *Table) add(r *Route) {
	host := strings.ToLower(r.Host)
	at := place{host: host, prefix: r.Prefix}
	if t.routes[at] != nil {
		return // a checked document has no two
	}
	t.routes[at] = r
	known := t.lengths[host]
	i, found := slices.BinarySearchFunc(known, len(r.Prefix), func(a, b int) int { return b - a })
	if !found {
		t.lengths[host] = slices.Insert(known, i, len(r.Prefix))
	}
}

// Match gives the route with the longest prefix that begins path, nil when
// none does. A port in host is passed over.
//
// A request costs one look for each length that the host's prefixes have, not one
// for each route.
func (t *Table) Match(host, path string) *Route {
	at := place{host: hostName(host)}
	for _, length := range t.lengths[at.host] {
		if length > len(path) {
			continue
		}
		at.prefix = path[:length]
		if r := t.routes[at]; r != nil {
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

// NeedsKey tells whether a request on a route must show a key.
func (t *Table) NeedsKey(r *Route) bool { return t.teams != nil && !r.Anonymous }

// TeamOf gives the team that holds a key, nil when none does. A request costs one
// look, however many keys there are.
func (t *Table) TeamOf(key keyhash.Hash) *Team { return t.teams[key] }

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
