package allocation

import (
	"cmp"
	"slices"
	"time"
)

// waitLine holds the requests that wait for capacity, in the order in which they are served.
//
// Load pattern: all entries fail under load, and the callers of all streams that broke return at
// once, beside new requests for all memory that there is. Resumed streams go before new requests: a
// new request can use any endpoint, one that continues a stream those of its software version alone,
// and what its caller has is lost if it is refused. Among them the one that has to start first is
// first. Each second place goes to a new request, so that these don't starve.
type waitLine struct {
	resumed    []*waiter // the earliest latest start first
	others     []*waiter // the oldest first
	wasResumed bool      // the latest place went to a resumed stream
}

// waiter is a request that waits for capacity.
type waiter struct {
	request     ReservationRequest
	latestStart time.Time      // after which its answer can't end in time
	isResumed   bool           // it has a place before new requests
	placement   chan Placement // buffered, holds one
}

func (l *waitLine) len() int { return len(l.resumed) + len(l.others) }

func (l *waitLine) add(w *waiter) {
	if !w.isResumed {
		l.others = append(l.others, w)
		return
	}
	at, _ := slices.BinarySearchFunc(l.resumed, w, func(a, b *waiter) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), -1) // after those of the same time
	})
	l.resumed = slices.Insert(l.resumed, at, w)
}

func (l *waitLine) remove(w *waiter) {
	isIt := func(other *waiter) bool { return other == w }
	l.resumed, l.others = slices.DeleteFunc(l.resumed, isIt), slices.DeleteFunc(l.others, isIt)
}

// serve offers capacity to each waiting request once, in order. place reports whether the request
// took some; it leaves the line then.
func (l *waitLine) serve(place func(*waiter) bool) {
	resumed, others := l.resumed, l.others
	l.resumed, l.others = nil, nil
	for len(resumed)+len(others) > 0 {
		from, unserved := &resumed, &l.resumed
		if len(resumed) == 0 || l.wasResumed && len(others) > 0 {
			from, unserved = &others, &l.others
		}
		w := (*from)[0]
		*from = (*from)[1:]
		if !place(w) {
			*unserved = append(*unserved, w)
			continue
		}
		l.wasResumed = w.isResumed
	}
}
