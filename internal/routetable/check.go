package routetable

import (
	"strings"

	"github.com/gravitational/trace"
)

// Check tells why a document can't be in force; nil when it can.
func (d *Document) Check() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	seen := map[place]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		at := place{host: strings.ToLower(r.Host), prefix: r.Prefix}
		if other, ok := seen[at]; ok {
			return trace.BadParameter("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		seen[at] = r.Name
	}
	return checkTeams(d.Teams)
}

// place is where a route stands.
type place struct{ host, prefix string }

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
