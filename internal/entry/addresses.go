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

// addresses answers GET /v1/addresses. Entries in this entry's zone come first,
// since the caller can reach this zone. Ranking by request ID spreads the first
// address evenly over the permitted entries.
func (c *callerHandler) addresses(x *exchange) *route.Failure {
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
		if e.CallerAddress != "" && len(reply.Addresses) < c.bounds.MaxAddresses {
			reply.Addresses = append(reply.Addresses, callerapi.Address{Address: e.CallerAddress, Zone: string(e.Zone)})
		}
	}
	if len(reply.Addresses) == 0 {
		return &route.Failure{
			Code: callerapi.CodeNoPermittedZone, Message: "no entry is up in the team's permitted availability zones",
			Outcome: callerapi.OutcomeNotRun, RetryAfter: route.DefaultRetryAfter,
		}
	}
	return x.writeJSON(reply)
}

// writeJSON answers with v as JSON and status 200.
func (x *exchange) writeJSON(v any) *route.Failure {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	x.headersSent = true
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(body)
	return nil
}

// otherAddresses returns the addresses of the other entries that the team may use.
func (c *callerHandler) otherAddresses(team settings.Team) []string {
	var out []string
	self := c.opts.Source.Self().ID
	for _, e := range c.opts.Source.State().View.Entries(team.Permitted()) {
		if e.ID != self && e.CallerAddress != "" && len(out) < c.bounds.MaxAddresses {
			out = append(out, e.CallerAddress)
		}
	}
	return out
}

// ready answers GET /readyz: 200 if this entry accepts requests, else 503.
func (c *callerHandler) ready(w http.ResponseWriter, _ *http.Request) {
	self := c.opts.Source.Self()
	declared := placement.Declared(c.opts.Source.State().Tree, self.Zone)
	if c.opts.Source.Current(time.Now()) && declared && !c.opts.Router.Draining() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
