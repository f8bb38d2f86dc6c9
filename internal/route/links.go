package route

import (
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// links is the table of links, kept at the newest settings.
type links struct {
	table   *schedule.LinkTable
	applied atomic.Pointer[settings.Tree]
}

func newLinks(table *schedule.LinkTable) *links {
	if table == nil {
		table = schedule.NewLinkTable(nil, time.Now)
	}
	return &links{table: table}
}

// at gives the table with the links that tree declares.
func (l *links) at(tree *settings.Tree) *schedule.LinkTable {
	if l.applied.Load() != tree {
		l.table.Apply(tree.Fleet.Links)
		l.applied.Store(tree)
	}
	return l.table
}

func (r *Router) linkTable() *schedule.LinkTable { return r.links.at(r.opts.Source.State().Tree) }

// linkUse is room that an attempt has booked on a link.
type linkUse struct {
	from, to fleet.AvailabilityZone
	bytes    int64
}

// bookLink takes room for the KV transfer, once both ends are known, so that
// attempts which predict meanwhile see it. Booking again moves it.
func (a *attempt) bookLink(readyAt time.Time, bytes int64) {
	if a.prefill == nil || a.decode == nil {
		return
	}
	a.leaveLink(0)
	use := linkUse{from: a.prefill.target.Zone, to: a.decode.target.Zone, bytes: bytes}
	a.run.router.linkTable().Book(time.Now(), readyAt, use.from, use.to, a.id, use.bytes)
	a.link = &use
}

// leaveLink gives the room back; took is the transfer's time, 0: none was made.
func (a *attempt) leaveLink(took time.Duration) {
	if a.link == nil {
		return
	}
	a.run.router.linkTable().Finish(a.link.from, a.link.to, a.id, a.link.bytes, took)
	a.link = nil
}

// transferTime predicts the KV transfer with what is booked. Ends that aren't
// chosen yet count as this entry's own zone.
func (a *attempt) transferTime() time.Duration {
	own := a.run.router.opts.Source.Self().Zone
	from, to := own, own
	if a.prefill != nil {
		from = a.prefill.target.Zone
	}
	if a.decode != nil {
		to = a.decode.target.Zone
	}
	now := time.Now()
	return a.run.router.linkTable().Predict(now, now, from, to, a.run.class.kvBytes())
}

// near gives the zone that the next endpoint is to be near by link: the other
// end of the KV transfer when that is chosen, else this entry's own.
func (a *attempt) near() fleet.AvailabilityZone {
	switch {
	case a.prefill != nil:
		return a.prefill.target.Zone
	case a.decode != nil:
		return a.decode.target.Zone
	}
	return a.run.router.opts.Source.Self().Zone
}

// predictPrefill gives the engine's time for the prompt, and its spread.
func (m *modelRun) predictPrefill() (work, spread time.Duration) {
	p := m.router.opts.Prefill
	return p.Predict(m.class.prompt), p.Spread()
}
