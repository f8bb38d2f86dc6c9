package follower

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// applyReply applies a member's reply and reports whether it contained changes.
func (f *Follower) applyReply(poller int, member string, reply *pb.FollowReply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(reply.Members) > 0 {
		f.members, f.near = reply.Members, min(int(reply.Near), len(reply.Members))
	}
	if f.options.OnSenders != nil && reply.Current && reply.Senders > 0 {
		f.options.OnSenders(int(reply.Senders))
	}
	f.fleetTransfer.update(poller, f.transferPoller(poller), reply.More)
	changed := f.applyEndpoints(reply.Endpoints)
	// A member whose own log is behind must not lower the revision: the changes that it
	// lacks would be requested again, and its records are older.
	f.revision = max(f.revision, reply.Revision)
	if changed || f.view.Load() == nil {
		f.view.Store(f.buildView())
	}
	return f.applyOutline(member, reply.Outline) || changed
}

func (f *Follower) applyEndpoints(records []*pb.EndpointRecord) (changed bool) {
	for _, e := range records {
		if known := f.endpoints[e.Id]; known != nil && known.Revision >= e.Revision {
			continue
		}
		f.updateAbsent(f.endpoints[e.Id], e)
		f.endpoints[e.Id] = e
		f.updateUsable(e)
		changed = true
		if len(records) <= maxLoggedRecords {
			f.options.Part.Info("Endpoint changed.", "endpoint", e.Id, "service", e.Service, "address", e.Address,
				"state", e.State, "stage", e.Stage, "software", e.Software, "born", e.Born, "revision", e.Revision)
		}
	}
	if len(records) > maxLoggedRecords {
		f.options.Part.Info("Many endpoints changed.", "count", len(records),
			"first_revision", records[0].Revision, "last_revision", records[len(records)-1].Revision)
	}
	return changed
}

// updateUsable keeps the endpoint of a record if it may be used now.
func (f *Follower) updateUsable(e *pb.EndpointRecord) {
	if e.State == pb.EndpointState_ENDPOINT_STATE_READY && e.Assigned == pb.Stage_STAGE_UNSPECIFIED {
		f.usable[e.Id] = endpointOf(e)
		return
	}
	delete(f.usable, e.Id)
}

// updateAbsent keeps why the endpoint of a record, which has not left, may not be used: it missed
// its heartbeats, or announced before that it leaves. known is the record before, nil if there is
// none.
func (f *Follower) updateAbsent(known, e *pb.EndpointRecord) {
	wasDraining := f.draining[e.Id] && known.GetBorn() == e.Born
	delete(f.silent, e.Id)
	delete(f.draining, e.Id)
	switch {
	case e.State == pb.EndpointState_ENDPOINT_STATE_DRAINING, e.State == pb.EndpointState_ENDPOINT_STATE_SILENT && wasDraining:
		f.draining[e.Id] = true
	case e.State == pb.EndpointState_ENDPOINT_STATE_SILENT:
		f.silent[e.Id] = true
	}
}

// applyOutline starts fetching a newer document and reports whether there is one.
func (f *Follower) applyOutline(member string, outline *pb.Outline) bool {
	newer, err := f.download.setTarget(outline, time.Now())
	if err != nil {
		f.options.Part.Error("The outline of a configuration is invalid.", "version", outline.Version, "err", err)
	}
	if !newer {
		if outline != nil && outline.Version == f.download.latestKnown() {
			f.versionSources = append(f.versionSources, member)
		}
		return false
	}
	f.versionSources = []string{member}
	f.metrics.latestKnown.Set(float64(outline.Version))
	f.outdatedSince.CompareAndSwap(0, int64(time.Since(f.startedAt)))
	f.wakeFetchers()
	f.finishDocument()
	return true
}

// finishDocument puts the fetched document into force once it is complete.
func (f *Follower) finishDocument() {
	document, err := f.download.finish()
	if err != nil {
		f.options.Part.Error("Assembled configuration differs from the confirmed one; fetching it again.", "err", err)
	}
	if document == nil {
		return
	}
	f.putIntoForce(document)
	f.outdatedSince.Store(0)
}

func (f *Follower) putIntoForce(d *blocks.Document) {
	decoded, err := f.options.Decode(d.Source(), f.decoded)
	if err != nil {
		// The document was checked before it was committed.
		f.options.Part.Error("Decoding a committed configuration failed; the previous one stays in force.", "version", d.Version(), "err", err)
		return
	}
	f.decoded, f.table = decoded, routetable.Compile(decoded)
	f.confirmations.switchTo(d.Version())
	f.view.Store(f.buildView())
	took := time.Since(f.download.startedAt)
	f.metrics.inForce.Set(float64(d.Version()))
	f.metrics.document.Observe(took.Seconds())
	f.options.Part.Info("Configuration is in force.", "version", d.Version(), "routes", len(decoded.Routes),
		"bytes", len(d.Source()), "received_bytes", f.download.received, "took_ms", took.Milliseconds())
}

func (f *Follower) buildView() *relay.View {
	view := &relay.View{Table: f.table, Confirmed: f.confirmations.current, Endpoints: map[string][]*dispatch.Endpoint{}, Silent: map[dispatch.Incarnation]bool{}, Draining: map[dispatch.Incarnation]bool{}}
	for _, e := range f.usable {
		view.Endpoints[e.Service] = append(view.Endpoints[e.Service], e)
	}
	for id := range f.silent {
		view.Silent[dispatch.Incarnation{ID: id, Born: f.endpoints[id].Born}] = true
	}
	for id := range f.draining {
		view.Draining[dispatch.Incarnation{ID: id, Born: f.endpoints[id].Born}] = true
	}
	return view
}

func endpointOf(e *pb.EndpointRecord) *dispatch.Endpoint {
	endpoint := &dispatch.Endpoint{
		ID: e.Id, Born: e.Born, Service: e.Service, Address: e.Address, Zone: e.Zone, Slots: int(e.Slots), Software: e.Software,
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
