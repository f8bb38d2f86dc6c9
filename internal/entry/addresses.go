package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/placement"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// addresses answers GET /v1/addresses. The first address falls evenly over
// the permitted entries, as each answer is ranked by its own request ID; those
// in this entry's zone go first, since the caller found its way here.
func (c *callers) addresses(x *exchange) *route.Failure {
	if !c.opts.Source.Current(time.Now()) {
		return &route.Failure{
			Code: callerapi.CodeNotCurrent, Message: "this entry can't confirm its settings now",
			Outcome: callerapi.OutcomeNotRun, RetryAfter: route.DefaultRetryAfter,
		}
	}
	state := c.opts.Source.State()
	entries := state.View.Entries(x.team.Permitted())
	ranked := fleet.RankInstances(string(x.id), c.opts.Source.Self().Zone, entries)
	reply := callerapi.AddressesReply{
		Addresses: []callerapi.Address{},
		KeepMs:    state.Tree.Fleet.Timeouts.AddressKeep.Milliseconds(),
	}
	for _, e := range ranked {
		if e.CallerAddress != "" && len(reply.Addresses) < c.bounds.Addresses {
			reply.Addresses = append(reply.Addresses, callerapi.Address{Address: e.CallerAddress, Zone: string(e.Zone)})
		}
	}
	if len(reply.Addresses) == 0 {
		return &route.Failure{
			Code: callerapi.CodeNoZone, Message: "no entry is up in the team's permitted availability zones",
			Outcome: callerapi.OutcomeNotRun, RetryAfter: route.DefaultRetryAfter,
		}
	}
	return x.json(reply)
}

// json writes an answer that is not a request's own.
func (x *exchange) json(v any) *route.Failure {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	x.began = true
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(body)
	return nil
}

// otherAddresses are the entries that the team may go to instead of this one.
func (c *callers) otherAddresses(team settings.Team) []string {
	var out []string
	self := c.opts.Source.Self().ID
	for _, e := range c.opts.Source.State().View.Entries(team.Permitted()) {
		if e.ID != self && e.CallerAddress != "" && len(out) < c.bounds.Addresses {
			out = append(out, e.CallerAddress)
		}
	}
	return out
}

// ready answers whether this entry takes requests.
func (c *callers) ready(w http.ResponseWriter, _ *http.Request) {
	self := c.opts.Source.Self()
	declared := placement.Declared(c.opts.Source.State().Tree, self.Zone)
	if c.opts.Source.Current(time.Now()) && declared && !c.opts.Router.Draining() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
