package endpoint

import (
	"slices"
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// queuedRequest is one grant request in an endpoint's queue.
type queuedRequest struct {
	request   *slotRequest
	arrival   uint64  // order of arrival
	workMs    float64 // predicted engine work
	responses chan<- response
}

// fairQueue orders queued grant requests: start-time fair queueing over teams
// in units of predicted engine work, and by priority, then arrival, within a
// team. Priority has no effect between teams, since each team sets its own. It
// does no I/O.
//
// Without fairness, a team that sends ten times its share fills the queue, and
// another team's callers wait or are refused. So each dispatch moves a team's
// next start tag on by work divided by share, and a full queue drops the last
// request of the team with the most queued work for its share.
type fairQueue struct {
	limit       int
	size        int
	virtualTime float64 // start tag of the last dispatch
	teams       map[fleet.Team]*teamQueue
}

type teamQueue struct {
	team      fleet.Team
	share     float64
	finishTag float64 // tag at which the team's last dispatch ends
	items     []*queuedRequest
}

func newFairQueue(limit int) *fairQueue {
	return &fairQueue{limit: limit, teams: make(map[fleet.Team]*teamQueue)}
}

// push adds w. If the queue is full, it returns the request that was dropped,
// which may be w.
func (q *fairQueue) push(w *queuedRequest) (dropped *queuedRequest) {
	t := q.team(w.request.team)
	t.share = w.request.share
	at := sort.Search(len(t.items), func(n int) bool { return dispatchedBefore(w, t.items[n]) })
	t.items = append(t.items, nil)
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = w
	q.size++
	if q.size <= q.limit {
		return nil
	}
	return q.dropFromLargestBacklog()
}

func dispatchedBefore(a, b *queuedRequest) bool {
	if a.request.priority != b.request.priority {
		return a.request.priority > b.request.priority
	}
	return a.arrival < b.arrival
}

// dropFromLargestBacklog removes the last request of the team with the most
// queued work for its share.
func (q *fairQueue) dropFromLargestBacklog() *queuedRequest {
	var worst *teamQueue
	var largest float64
	for _, t := range q.teams {
		load := t.backlog() / t.share
		if worst == nil || load > largest || (load == largest && t.team > worst.team) {
			worst, largest = t, load
		}
	}
	w := worst.items[len(worst.items)-1]
	q.remove(w)
	return w
}

func (t *teamQueue) backlog() float64 {
	sum := 0.0
	for _, w := range t.items {
		sum += w.workMs
	}
	return sum
}

func (t *teamQueue) start(virtual float64) float64 { return max(virtual, t.finishTag) }

// next returns the request to dispatch first among the eligible ones, or nil if
// there is none.
func (q *fairQueue) next(eligible func(*queuedRequest) bool) *queuedRequest {
	var best *queuedRequest
	var bestTeam *teamQueue
	for _, t := range q.teams {
		w := t.first(eligible)
		if w == nil {
			continue
		}
		if best == nil || q.startsBefore(t, bestTeam) {
			best, bestTeam = w, t
		}
	}
	return best
}

func (t *teamQueue) first(eligible func(*queuedRequest) bool) *queuedRequest {
	for _, w := range t.items {
		if eligible(w) {
			return w
		}
	}
	return nil
}

func (q *fairQueue) startsBefore(a, b *teamQueue) bool {
	x, y := a.start(q.virtualTime), b.start(q.virtualTime)
	if x != y {
		return x < y
	}
	return a.team < b.team
}

// dispatch removes w and charges its team.
func (q *fairQueue) dispatch(w *queuedRequest) {
	t := q.team(w.request.team)
	start := t.start(q.virtualTime)
	q.virtualTime = start
	t.finishTag = start + w.workMs/t.share
	q.remove(w)
}

// remove removes w without a charge and reports whether w was queued.
func (q *fairQueue) remove(w *queuedRequest) bool {
	t, ok := q.teams[w.request.team]
	if !ok {
		return false
	}
	for n, o := range t.items {
		if o == w {
			t.items = append(t.items[:n], t.items[n+1:]...)
			q.size--
			q.dropIdle(t)
			return true
		}
	}
	return false
}

// dropIdle removes a team that has no queued request and no finish tag to keep.
func (q *fairQueue) dropIdle(t *teamQueue) {
	if len(t.items) == 0 && t.finishTag <= q.virtualTime {
		delete(q.teams, t.team)
	}
}

func (q *fairQueue) team(name fleet.Team) *teamQueue {
	t, ok := q.teams[name]
	if ok {
		return t
	}
	if len(q.teams) >= maxTeams {
		q.dropIdleTeams()
	}
	t = &teamQueue{team: name, share: 1}
	q.teams[name] = t
	return t
}

// dropIdleTeams removes teams without queued requests; the others are fewer
// than limit.
func (q *fairQueue) dropIdleTeams() {
	for name, t := range q.teams {
		if len(t.items) == 0 {
			delete(q.teams, name)
		}
	}
}

// ahead returns how many requests go before w if no more arrive.
func (q *fairQueue) ahead(w *queuedRequest) int { return slices.Index(q.ordered(), w) }

// ordered returns all requests in order of dispatch if no more arrive.
func (q *fairQueue) ordered() []*queuedRequest {
	list := make([]*queuedRequest, 0, q.size)
	virtual := q.virtualTime
	finish := make(map[*teamQueue]float64, len(q.teams))
	taken := make(map[*teamQueue]int, len(q.teams))
	for _, t := range q.teams {
		finish[t] = t.finishTag
	}
	for len(list) < q.size {
		t := nextTeam(q.teams, finish, taken, virtual)
		w := t.items[taken[t]]
		taken[t]++
		virtual = max(virtual, finish[t])
		finish[t] = virtual + w.workMs/t.share
		list = append(list, w)
	}
	return list
}

func nextTeam(teams map[fleet.Team]*teamQueue, finish map[*teamQueue]float64, taken map[*teamQueue]int, virtual float64) *teamQueue {
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

// all returns every queued request, in no particular order.
func (q *fairQueue) all() []*queuedRequest {
	list := make([]*queuedRequest, 0, q.size)
	for _, t := range q.teams {
		list = append(list, t.items...)
	}
	return list
}
