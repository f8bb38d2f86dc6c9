package follower

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// take takes in a member's answer, and tells whether it held news.
func (f *Follower) take(way int, member string, reply *pb.FollowReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.Members) > 0 {
		f.members = reply.Members
	}
	if f.options.Senders != nil && reply.Current && reply.Senders > 0 {
		f.options.Senders(int(reply.Senders))
	}
	f.filling.told(way, reply.More)
	changed := f.takeEndpoints(reply.Endpoints)
	// A member whose own log is behind may not take the revision back; what it
	// lacks would be asked for again, and what it holds is older.
	f.revision = max(f.revision, reply.Revision)
	if changed || f.view.Load() == nil {
		f.view.Store(f.build())
	}
	return f.takeOutline(member, reply.Outline) || changed
}

func (f *Follower) takeEndpoints(records []*pb.EndpointRecord) (changed bool) {
	for _, e := range records {
		if known := f.endpoints[e.Id]; known != nil && known.Revision >= e.Revision {
			continue
		}
		f.endpoints[e.Id] = e
		changed = true
		f.options.Part.Info("Endpoint changed.", "endpoint", e.Id, "service", e.Service, "address", e.Address,
			"state", e.State, "stage", e.Stage, "born", e.Born, "revision", e.Revision)
	}
	return changed
}

// takeOutline has a newer document fetched.
func (f *Follower) takeOutline(member string, outline *pb.Outline) bool {
	newer, err := f.download.aim(outline, time.Now())
	if err != nil {
		f.options.Part.Error("The outline of a configuration can't be read.", "version", outline.Version, "err", err)
	}
	if !newer {
		if outline != nil && outline.Version == f.download.known() {
			f.tellers = append(f.tellers, member)
		}
		return false
	}
	f.tellers = []string{member}
	f.metrics.known.Set(float64(outline.Version))
	f.behind.CompareAndSwap(0, int64(time.Since(f.began)))
	f.wakeFetchers()
	f.finishDocument()
	return true
}

// finishDocument puts the document on its way into force once it is whole.
func (f *Follower) finishDocument() {
	document, err := f.download.finish()
	if err != nil {
		f.options.Part.Error("A configuration is not what was confirmed; it is fetched anew.", "err", err)
	}
	if document == nil {
		return
	}
	f.putIntoForce(document)
	f.behind.Store(0)
}

func (f *Follower) putIntoForce(d *blocks.Document) {
	decoded, err := f.options.Decode(d.Source(), f.decoded)
	if err != nil {
		// It was checked before it was committed.
		f.options.Part.Error("A committed configuration can't be read; the one before stays in force.", "version", d.Version(), "err", err)
		return
	}
	f.decoded, f.table = decoded, routetable.Compile(decoded)
	f.words.inForce(d.Version())
	f.view.Store(f.build())
	took := time.Since(f.download.began)
	f.metrics.inForce.Set(float64(d.Version()))
	f.metrics.document.Observe(took.Seconds())
	f.options.Part.Info("Configuration is in force.", "version", d.Version(), "routes", len(decoded.Routes),
		"bytes", len(d.Source()), "received_bytes", f.download.received, "took_ms", took.Milliseconds())
}

func (f *Follower) build() *relay.View {
	view := &relay.View{Table: f.table, Confirmed: f.words.current, Endpoints: map[string][]*dispatch.Endpoint{}}
	for _, e := range f.endpoints {
		if e.State == pb.EndpointState_ENDPOINT_STATE_READY && e.Assigned == pb.Stage_STAGE_UNSPECIFIED {
			view.Endpoints[e.Service] = append(view.Endpoints[e.Service], endpointOf(e))
		}
	}
	return view
}

func endpointOf(e *pb.EndpointRecord) *dispatch.Endpoint {
	endpoint := &dispatch.Endpoint{
		ID: e.Id, Born: e.Born, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: int(e.Slots),
	}
	switch e.Stage {
	case pb.Stage_STAGE_PREFILL:
		endpoint.Stage = dispatch.StagePrefill
	case pb.Stage_STAGE_DECODE:
		endpoint.Stage = dispatch.StageDecode
	}
	for _, m := range e.Models {
		endpoint.Models = append(endpoint.Models, m.Name)
	}
	return endpoint
}
