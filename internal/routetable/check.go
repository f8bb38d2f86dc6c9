package routetable

import (
	"strings"

	"github.com/gravitational/trace"
)

// Check returns why a document is invalid; nil if it is valid.
func (d *Document) Check() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	seen := map[routeKey]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix}
		if other, ok := seen[key]; ok {
			return trace.BadParameter("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		seen[key] = r.Name
	}
	return checkTeams(d.Teams)
}

// routeKey identifies a route: no two routes of a document share a host and prefix.
type routeKey struct{ host, prefix string }

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return trace.BadParameter("route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return trace.BadParameter("route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	total := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return trace.BadParameter("route %q leads to service %q, which is unknown", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return trace.BadParameter("route %q gives service %q the weight %v", r.Name, b.Service, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		return trace.BadParameter("route %q: its weights add up to %v", r.Name, total)
	}
	return nil
}
