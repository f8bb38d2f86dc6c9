package route

import (
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// links is the link table, kept up to date with the latest applied settings.
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

// withSettings returns the table with the links that tree declares.
func (l *links) withSettings(tree *settings.Tree) *schedule.LinkTable {
	if l.applied.Load() != tree {
		l.table.Apply(tree.Fleet.Links)
		l.applied.Store(tree)
	}
	return l.table
}

func (r *Router) linkTable() *schedule.LinkTable {
	return r.links.withSettings(r.opts.Source.State().Tree)
}

// linkBooking is capacity on a link that an attempt has booked.
type linkBooking struct {
	from, to fleet.AvailabilityZone
	bytes    int64
}

// bookLink books capacity for the KV transfer once both ends are known, so that the
// predictions of other attempts include it. It replaces an earlier booking.
func (a *attempt) bookLink(readyAt time.Time, bytes int64) {
	if a.prefill == nil || a.decode == nil {
		return
	}
	a.releaseLink(0)
	booking := linkBooking{from: a.prefill.target.Zone, to: a.decode.target.Zone, bytes: bytes}
	a.request.router.linkTable().Book(time.Now(), readyAt, booking.from, booking.to, a.id, booking.bytes)
	a.linkBooking = &booking
}

// releaseLink releases the booking. took is the duration of the transfer; 0: there
// was none.
func (a *attempt) releaseLink(took time.Duration) {
	if a.linkBooking == nil {
		return
	}
	a.request.router.linkTable().Finish(a.linkBooking.from, a.linkBooking.to, a.id, a.linkBooking.bytes, took)
	a.linkBooking = nil
}

// transferTime predicts the duration of the KV transfer, including the current
// bookings. An end that isn't chosen yet counts as being in this entry's zone.
func (a *attempt) transferTime() time.Duration {
	entryZone := a.request.router.opts.Source.Self().Zone
	from, to := entryZone, entryZone
	if a.prefill != nil {
		from = a.prefill.target.Zone
	}
	if a.decode != nil {
		to = a.decode.target.Zone
	}
	now := time.Now()
	return a.request.router.linkTable().Predict(now, now, from, to, a.request.params.kvBytes())
}

// preferredZone returns the zone to which the next endpoint should have a good link:
// that of the other end of the KV transfer if it is chosen, else this entry's.
func (a *attempt) preferredZone() fleet.AvailabilityZone {
	switch {
	case a.prefill != nil:
		return a.prefill.target.Zone
	case a.decode != nil:
		return a.decode.target.Zone
	}
	return a.request.router.opts.Source.Self().Zone
}

// predictPrefill returns the predicted prefill time of the prompt and its spread.
func (m *activeModelRequest) predictPrefill() (work, spread time.Duration) {
	p := m.router.opts.Prefill
	return p.Predict(m.params.promptTokens), p.StdDev()
}
