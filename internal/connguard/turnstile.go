package connguard

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// DefaultProcessorShare is the share of the processor time for connections that use much of it.
	DefaultProcessorShare = 0.5
	// maxTurn is how long a turn lasts at most: its connection may wait for something else.
	maxTurn = 5 * time.Millisecond
	// delayPerWork is how much later a connection's turn comes for each unit of recent work.
	delayPerWork = time.Millisecond
)

// Turnstile lets one connection at a time use the processor, of those that have used much of it, and
// keeps all of them together within a share of the time. It is safe for concurrent use.
type Turnstile struct {
	mu      sync.Mutex // guards the fields below
	share   processorShare
	waiting turnQueue
	current *turn // nil if nobody has a turn
	timer   *time.Timer
}

// NewTurnstile returns a Turnstile for a share of the processor time, DefaultProcessorShare for 0.
func NewTurnstile(share float64) *Turnstile {
	if share <= 0 {
		share = DefaultProcessorShare
	}
	return &Turnstile{share: processorShare{share: min(1, share)}}
}

// turn is the right to use the processor.
type turn struct {
	due   time.Time     // the earliest is first
	ready chan struct{} // closed when the turn begins
	began time.Time
	index int // in the queue; -1 when it isn't there
}

func newTurn(now time.Time, recent Work) *turn {
	return &turn{due: now.Add(time.Duration(float64(recent) * float64(delayPerWork))), ready: make(chan struct{})}
}

// enter waits for a turn of a connection whose recent work is known. It returns nil if canceled is
// closed before. Work that waits lets lighter connections pass, for a time.
func (t *Turnstile) enter(now time.Time, recent Work, canceled <-chan struct{}) *turn {
	own := newTurn(now, recent)
	t.mu.Lock()
	heap.Push(&t.waiting, own)
	t.advance(now)
	t.mu.Unlock()
	select {
	case <-own.ready:
		return own
	case <-canceled:
		t.cancel(own)
		return nil
	}
}

func (t *Turnstile) cancel(own *turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own.index >= 0 {
		heap.Remove(&t.waiting, own.index)
		return
	}
	t.end(time.Now(), own)
}

// leave ends a turn; own may be nil, or have ended.
func (t *Turnstile) leave(own *turn) {
	if own == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(time.Now(), own)
}

func (t *Turnstile) end(now time.Time, own *turn) {
	if t.current != own {
		return
	}
	t.current = nil
	t.share.use(now, now.Sub(own.began))
	t.advance(now)
}

// advance begins the next turn if it may begin, and otherwise comes back when it may.
func (t *Turnstile) advance(now time.Time) {
	if t.current != nil && now.Sub(t.current.began) >= maxTurn {
		t.share.use(now, maxTurn)
		t.current = nil
	}
	if len(t.waiting) == 0 {
		return
	}
	if t.current != nil {
		t.comeBack(maxTurn - now.Sub(t.current.began))
		return
	}
	if wait := t.share.wait(now); wait > 0 {
		t.comeBack(wait)
		return
	}
	t.current = heap.Pop(&t.waiting).(*turn)
	t.current.began = now
	close(t.current.ready)
	if len(t.waiting) > 0 {
		t.comeBack(maxTurn)
	}
}

func (t *Turnstile) comeBack(after time.Duration) {
	if t.timer == nil {
		t.timer = time.AfterFunc(after, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.advance(time.Now())
		})
		return
	}
	t.timer.Reset(after)
}

// turnQueue is a heap of turns by the time at which they are due.
type turnQueue []*turn

// Len implements heap.Interface.
func (q turnQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q turnQueue) Less(a, b int) bool { return q[a].due.Before(q[b].due) }

// Swap implements heap.Interface.
func (q turnQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) {
	x.(*turn).index = len(*q)
	*q = append(*q, x.(*turn))
}

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	first := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	first.index = -1
	return first
}
