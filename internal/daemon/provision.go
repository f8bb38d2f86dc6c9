package daemon

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/provision"
)

// initProvision creates the service between requests and homes. It counts the demand for
// each model, and drains an endpoint before an order is carried out on it.
func (e *entryRole) initProvision(b *base, client engine.Client) {
	e.provision = provision.New(provision.Options{
		Source:     b.agent,
		Dialer:     b.pool,
		Home:       e.home,
		Follower:   e.follower,
		Control:    b.client,
		Endpoints:  client,
		Part:       newPart(b.logger, "provision"),
		Recorder:   b.timelineRing,
		Registerer: b.registry,
	})
}

// endpointOrders sends operators' orders to endpoints through this daemon.
type endpointOrders struct {
	lister     endpointLister
	localEntry *entryRole // nil without the role
}

func (o endpointOrders) order(ctx context.Context, in *pb.OrderEndpointRequest, by string) (*pb.OrderEndpointReply, error) {
	if o.localEntry == nil {
		return nil, trace.ConnectionProblem(nil, "this instance is no entry and can't reach endpoints; ask an entry")
	}
	digests, err := o.lister.list(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, d := range digests {
		if d.GetId() == in.GetEndpointId() {
			return o.localEntry.provision.Order(ctx, in, d, by)
		}
	}
	return nil, trace.NotFound("no home knows endpoint %q", in.GetEndpointId())
}
