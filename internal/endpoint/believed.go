package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// A choice is made on digests that are up to some hundred milliseconds old,
// and other daemons choose meanwhile on the same ones. The failure: several
// send their prefills to the engine that was the least loaded, and all but the
// first come late while other engines are idle. The guard: a take says how much
// work its daemon believes to be ahead, and the home, whose figures are exact,
// refuses it when there is more. The reply carries the home's figures, and the
// choice is made again among the others.
const (
	// beliefSlack is how much more than believed may be ahead.
	beliefSlack = 100 * time.Millisecond
	// beliefTries is how many takes of one attempt may be refused so; the next
	// one waits wherever it comes to.
	beliefTries = 2
	// beliefSpare is how many endpoints must be left after those: a retry may
	// avoid one that has failed, and one must take the request.
	beliefSpare = 2
	// maxDoubts bounds the attempts whose refusals are remembered.
	maxDoubts = 4096
)

// doubts counts the takes of an attempt that were bounded by belief and
// refused. Guarded by the follower's attemptsMu.
type doubts map[holdKey]int

// note counts one more. When full it forgets all: an attempt that is then
// refused once more asks once more.
func (d doubts) note(key holdKey) {
	if len(d) >= maxDoubts {
		clear(d)
	}
	d[key]++
}

// mostAhead gives the bound for a take: the smaller of what the caller of Take
// says and what is believed; 0: none.
func (f *HomeClient) mostAhead(now time.Time, x *index, known *row, r GrantRequest) time.Duration {
	believed := f.believed(now, x, known, r)
	if believed == 0 || (r.MostAhead > 0 && r.MostAhead < believed) {
		return r.MostAhead
	}
	return believed
}

// believed gives the bound by this daemon's view; 0: none.
func (f *HomeClient) believed(now time.Time, x *index, known *row, r GrantRequest) time.Duration {
	if r.Kind == fleet.RolePlain || r.Alone {
		return 0
	}
	f.attemptsMu.Lock()
	refused := f.doubts[holdKey{r.Attempt, r.Kind}]
	f.attemptsMu.Unlock()
	if refused >= beliefTries || x.others(r, f.permitted(r.Team)) < beliefTries+beliefSpare {
		return 0
	}
	var seen Candidate
	if !known.fill(now, &seen) {
		return 0
	}
	return seen.NextFree + seen.QueuedWork + beliefSlack
}

func (f *HomeClient) permitted(team fleet.Team) fleet.ZoneSet {
	tree := f.options.Source.State().Tree
	if tree == nil {
		return fleet.ZoneSet{}
	}
	settings, ok := tree.Teams[team]
	if !ok {
		return fleet.ZoneSet{}
	}
	return settings.Permitted()
}

// others counts the followed endpoints that could take the request.
func (x *index) others(r GrantRequest, permitted fleet.ZoneSet) int {
	count := 0
	for _, zone := range x.groups[indexKey{kind: r.Kind, model: r.Model}] {
		if permitted.Permits(zone.zone) {
			count += len(zone.rows)
		}
	}
	return count
}

// settled forgets the refusals of an attempt that needs them no more, and
// counts one that was refused.
func (f *HomeClient) settled(key holdKey, refused bool) {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	if refused {
		f.doubts.note(key)
		return
	}
	delete(f.doubts, key)
}
