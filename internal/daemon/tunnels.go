package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/tcpdial"
	"github.com/hyssopsail/hyssopsail/internal/tunnel"
)

// siblingDirectory names the entries through which this daemon may reach an endpoint.
type siblingDirectory struct {
	source membership.Source
	self   fleet.Instance
}

// Siblings implements tunnel.Directory. A connection through a sibling stays in the
// availability zones that a direct one has: this daemon's, where the request came in, and the
// endpoint's. Both are permitted to the team.
func (d siblingDirectory) Siblings(ctx context.Context) []string {
	zones := map[fleet.AvailabilityZone]bool{d.self.Zone: true}
	if target, ok := engine.TargetFromContext(ctx); ok {
		zones[target.Zone] = true
	}
	var list []string
	for _, i := range d.source.State().View.Instances {
		if i.Entry && !i.Draining && i.ID != d.self.ID && zones[i.Zone] {
			list = append(list, i.RPCAddress)
		}
	}
	return list
}

func newTunnelClient(b *base) *tunnel.Client {
	return tunnel.NewClient(tunnel.ClientOptions{
		Dialer: b.pool, Directory: siblingDirectory{source: b.agent, self: b.self}, Shuffle: rand.Shuffle,
		Part: newPart(b.logger, "tunnel"), Metrics: b.registry,
	})
}

// newTunnelServer returns the server for other entries. These are authenticated daemons of the
// fleet, which know endpoints that this one doesn't follow.
func newTunnelServer(b *base, links *reachability.Tracker) *tunnel.Server {
	direct := reachability.Dialer{Tracker: links, Direct: tcpdial.Direct(b.localIP)}
	return tunnel.NewServer(tunnel.ServerOptions{
		Knows: engineapi.IsValidAddress, Reachability: links, Dial: direct.DialDirect,
		Part: newPart(b.logger, "tunnel"), Metrics: b.registry,
	})
}
