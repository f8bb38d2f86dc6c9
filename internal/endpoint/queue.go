package endpoint

import (
	"slices"
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// waiting is one grant request in an endpoint's queue.
type waiting struct {
	ask     *ask
	order   uint64  // arrival
	work    float64 // predicted engine work, ms
	answers chan<- answer
}

// fairQueue orders waiting grants: start-time fair queueing over teams in
// units of predicted engine work, and by priority, then arrival, inside a
// team. Priority doesn't reach over teams, since a team sets its own. Pure.
//
// The failure: one team sends ten times its share, its requests fill the
// queue, and another team's callers wait or are refused for it. The guards:
// a team's next start tag moves on by work over share at each dispatch, and a
// full queue drops the newest request of the team that waits with most work
// for its share.
type fairQueue struct {
	limit   int
	size    int
	virtual float64 // start tag of the last dispatch
	teams   map[fleet.Team]*teamQueue
}

type teamQueue struct {
	team   fleet.Team
	share  float64
	finish float64 // tag at which the team's last dispatch ends
	items  []*waiting
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, teams: make(map[fleet.Team]*teamQueue)}
}

// push adds w. When the queue is full it gives the request that had to go,
// which may be w.
func (q *fairQueue) push(w *waiting) (dropped *waiting) {
	t := q.team(w.ask.team)
	t.share = w.ask.share
	at := sort.Search(len(t.items), func(n int) bool { return before(w, t.items[n]) })
	t.items = append(t.items, nil)
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = w
	q.size++
	if q.size <= q.limit {
		return nil
	}
	return q.dropLast()
}

func before(a, b *waiting) bool {
	if a.ask.priority != b.ask.priority {
		return a.ask.priority > b.ask.priority
	}
	return a.order < b.order
}

// dropLast removes the last request of the team with most waiting work for
// its share.
func (q *fairQueue) dropLast() *waiting {
	var worst *teamQueue
	var most float64
	for _, t := range q.teams {
		load := t.backlog() / t.share
		if worst == nil || load > most || (load == most && t.team > worst.team) {
			worst, most = t, load
		}
	}
	w := worst.items[len(worst.items)-1]
	q.remove(w)
	return w
}

func (t *teamQueue) backlog() float64 {
	sum := 0.0
	for _, w := range t.items {
		sum += w.work
	}
	return sum
}

func (t *teamQueue) start(virtual float64) float64 { return max(virtual, t.finish) }

// next gives the request to dispatch first among those that may is true for;
// nil when there is none.
func (q *fairQueue) next(may func(*waiting) bool) *waiting {
	var best *waiting
	var bestTeam *teamQueue
	for _, t := range q.teams {
		w := t.first(may)
		if w == nil {
			continue
		}
		if best == nil || q.goesBefore(t, bestTeam) {
			best, bestTeam = w, t
		}
	}
	return best
}

func (t *teamQueue) first(may func(*waiting) bool) *waiting {
	for _, w := range t.items {
		if may(w) {
			return w
		}
	}
	return nil
}

func (q *fairQueue) goesBefore(a, b *teamQueue) bool {
	x, y := a.start(q.virtual), b.start(q.virtual)
	if x != y {
		return x < y
	}
	return a.team < b.team
}

// dispatch removes w and charges its team.
func (q *fairQueue) dispatch(w *waiting) {
	t := q.team(w.ask.team)
	start := t.start(q.virtual)
	q.virtual = start
	t.finish = start + w.work/t.share
	q.remove(w)
}

// remove takes w out without a charge; it tells whether w was there.
func (q *fairQueue) remove(w *waiting) bool {
	t, ok := q.teams[w.ask.team]
	if !ok {
		return false
	}
	for n, o := range t.items {
		if o == w {
			t.items = append(t.items[:n], t.items[n+1:]...)
			q.size--
			q.forget(t)
			return true
		}
	}
	return false
}

// forget drops a team that has no tag to remember.
func (q *fairQueue) forget(t *teamQueue) {
	if len(t.items) == 0 && t.finish <= q.virtual {
		delete(q.teams, t.team)
	}
}

func (q *fairQueue) team(name fleet.Team) *teamQueue {
	t, ok := q.teams[name]
	if ok {
		return t
	}
	if len(q.teams) >= maxTeams {
		q.shrink()
	}
	t = &teamQueue{team: name, share: 1}
	q.teams[name] = t
	return t
}

// shrink forgets idle teams; those with requests waiting are fewer than limit.
func (q *fairQueue) shrink() {
	for name, t := range q.teams {
		if len(t.items) == 0 {
			delete(q.teams, name)
		}
	}
}

// ahead tells how many requests go before w if none comes after.
func (q *fairQueue) ahead(w *waiting) int { return slices.Index(q.ordered(), w) }

// ordered gives all requests in the order in which they go if none comes.
func (q *fairQueue) ordered() []*waiting {
	list := make([]*waiting, 0, q.size)
	virtual := q.virtual
	finish := make(map[*teamQueue]float64, len(q.teams))
	taken := make(map[*teamQueue]int, len(q.teams))
	for _, t := range q.teams {
		finish[t] = t.finish
	}
	for len(list) < q.size {
		t := firstTeam(q.teams, finish, taken, virtual)
		w := t.items[taken[t]]
		taken[t]++
		virtual = max(virtual, finish[t])
		finish[t] = virtual + w.work/t.share
		list = append(list, w)
	}
	return list
}

func firstTeam(teams map[fleet.Team]*teamQueue, finish map[*teamQueue]float64, taken map[*teamQueue]int, virtual float64) *teamQueue {
	var best *teamQueue
	var tag float64
	for _, t := range teams {
		if taken[t] >= len(t.items) {
			continue
		}
		start := max(virtual, finish[t])
		if best == nil || start < tag || (start == tag && t.team < best.team) {
			best, tag = t, start
		}
	}
	return best
}

// all gives every waiting request, in no set order.
func (q *fairQueue) all() []*waiting {
	list := make([]*waiting, 0, q.size)
	for _, t := range q.teams {
		list = append(list, t.items...)
	}
	return list
}
