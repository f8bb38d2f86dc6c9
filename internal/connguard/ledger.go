package connguard

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	// maxEvictingShare is the share of a Ledger's memory that evicted connections whose requests
	// are still refused may hold.
	maxEvictingShare = 0.25
	// evictedBytes is what any other evicted connection holds until its goroutine ends.
	evictedBytes = 8 << 10
	// spareDivisor is the part of a bound that is made free beyond what is needed.
	spareDivisor = 32
	// maxRequestShare is the share of a Ledger's memory that may be taken when a request needs more,
	// so that one which is refused still has a connection, and MaxConnectionShare that of connections
	// themselves, so that they leave memory for requests.
	maxRequestShare    = 0.875
	MaxConnectionShare = 0.75
	// maxHeavyShare is the share of a Ledger's memory up to which requests of connections are
	// served that use much processor time. The rest is for others' requests.
	maxHeavyShare = 0.5
	// searchInterval is the least time between two searches for connections to evict that find
	// none: with many connections a search takes long.
	searchInterval = 2 * time.Millisecond
	// yields bounds how often a goroutine lets others go on while evicted connections end.
	yields = 8
)

// Ledger accounts for the connections of one listener. It is safe for concurrent use.
type Ledger struct {
	limits Limits

	mu       sync.Mutex // guards the fields below and those of the accounts
	accounts []*Account
	held     int64 // bytes, those of evicted connections included
	serving  int64 // bytes of connections whose requests are being served
	evicting int64 // bytes of evicted connections whose requests are still refused
	evicted  int   // evicted connections that aren't closed yet
	// fullUntil is until when nobody is looked for to make room: there was nobody just before.
	fullUntil time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l} }

// Open opens the account of a new connection. It returns nil if there is no room: all connections
// are being served. evict is called, once and without locks, when the connection has to end.
func (l *Ledger) Open(now time.Time, evict func(Eviction)) *Account {
	a := &Account{ledger: l, evict: evict, since: now, base: l.limits.ConnectionBytes}
	l.mu.Lock()
	victims, ok := l.makeRoom(now, a, a.rankWith(now, 0), room{l.limits.ConnectionBytes, 1})
	if ok {
		a.index = len(l.accounts)
		l.accounts = append(l.accounts, a)
		l.held += a.base
	}
	l.mu.Unlock()
	evictAll(victims)
	if !ok {
		return nil
	}
	return a
}

// Hold adds to what a connection holds, and reports whether it may: it makes room for that by
// connections that rank higher.
func (a *Account) Hold(now time.Time, bytes int64) bool {
	l := a.ledger
	l.mu.Lock()
	victims, ok := l.makeRoom(now, a, a.rankWith(now, bytes), room{bytes, 0})
	if ok {
		a.add(bytes)
	}
	l.mu.Unlock()
	evictAll(victims)
	return ok
}

// SetHeavy tells whether a connection uses much processor time. It reports whether a request of it may be
// served that holds bytes more.
func (a *Account) SetHeavy(heavy bool, bytes int64) bool {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	a.heavy = heavy
	limit := l.limits.MemoryBytes
	return !heavy || limit <= 0 || l.serving+a.base+a.held+bytes <= share(limit, maxHeavyShare)
}

// add adds to what a connection holds. The caller holds the ledger's lock.
func (a *Account) add(bytes int64) {
	a.held += bytes
	a.ledger.held += bytes
	if a.phase == Serving {
		a.ledger.serving += bytes
	}
}

// enter changes the phase. The caller holds the ledger's lock.
func (a *Account) enter(p Phase) {
	if a.phase == Serving {
		a.ledger.serving -= a.base + a.held
	}
	a.phase = p
	if a.phase == Serving {
		a.ledger.serving += a.base + a.held
	}
}

// room is what a connection needs more.
type room struct {
	bytes       int64
	connections int
}

// withSpare returns a need that is a part of the limits larger.
func (n room) withSpare(l Limits) room {
	n.bytes += l.MemoryBytes / spareDivisor
	if n.connections > 0 {
		n.connections += l.Connections / spareDivisor
	}
	return n
}

// makeRoom evicts connections until there is room, and reports whether there is. The requester isn't
// evicted: if it ranks highest itself, with what it needs, there is no room for it.
func (l *Ledger) makeRoom(now time.Time, by *Account, rank float64, need room) (victims []victim, ok bool) {
	if by.evicted {
		return nil, false
	}
	if !l.lacks(need) {
		return nil, true
	}
	if now.Before(l.fullUntil) {
		return nil, false
	}
	if l.limits.MemoryBytes > 0 && l.evicting > share(l.limits.MemoryBytes, maxEvictingShare) {
		return nil, false
	}
	for _, c := range l.candidates(now, by) {
		// A few more are evicted than needed: the next request finds room at once.
		if !l.lacks(need.withSpare(l.limits)) {
			break
		}
		if c.rank < rank && !by.precedes(now, c.account) {
			continue
		}
		victims = append(victims, l.markEvicted(c.account))
	}
	if len(victims) == 0 {
		l.fullUntil = now.Add(searchInterval)
	}
	return victims, !l.lacks(need)
}

// markEvicted accounts for a connection that ends. One whose body is received is still refused, so that
// what it holds becomes free later; any other is reset, and keeps only its goroutine for a moment.
func (l *Ledger) markEvicted(a *Account) victim {
	v := victim{end: a.evict, state: Eviction{Phase: a.phase, Held: a.held, Refusable: a.phase == Body && a.sendingAt.IsZero()}}
	a.evicted = true
	l.evicted++
	if v.state.Refusable {
		a.pending = true
		l.evicting += a.base + a.held
		return v
	}
	a.enter(Idle)
	left := min(a.base, evictedBytes)
	l.held -= a.base + a.held - left
	a.base, a.held = left, 0
	return v
}

// Eviction is the state of a connection that is evicted.
type Eviction struct {
	Phase     Phase
	Held      int64 // bytes of its requests
	Refusable bool  // its request can still be refused
}

// victim is an evicted connection.
type victim struct {
	end   func(Eviction)
	state Eviction
}

// candidate is a connection that may be evicted.
type candidate struct {
	account *Account
	rank    float64
}

// candidates returns the connections that may be evicted for another one, the highest rank first.
func (l *Ledger) candidates(now time.Time, by *Account) []candidate {
	list := make([]candidate, 0, len(l.accounts))
	for _, a := range l.accounts {
		if rank := a.rankWith(now, 0); rank > 0 && a != by {
			list = append(list, candidate{a, rank})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	return list
}

// retry tries to get room, and tries again while evicted connections still hold theirs: their
// goroutines need the processor to end. It reports whether there was room.
func (l *Ledger) retry(try func() bool) bool {
	for range yields {
		if try() {
			return true
		}
		if !l.isEvicting() {
			return false
		}
		runtime.Gosched()
	}
	return try()
}

func (l *Ledger) isEvicting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evicted > 0
}

// lacks reports whether there is no room.
func (l *Ledger) lacks(need room) bool {
	if limit := l.limits.Connections; limit > 0 && need.connections > 0 && len(l.accounts)-l.evicted+need.connections > limit {
		return true
	}
	memory := l.limits.MemoryBytes
	if memory <= 0 || need.bytes <= 0 {
		return false
	}
	used := l.held - l.evicting + need.bytes
	if need.connections == 0 {
		return used > share(memory, maxRequestShare)
	}
	return used > memory || int64(len(l.accounts)-l.evicted)*l.limits.ConnectionBytes+need.bytes > share(memory, MaxConnectionShare)
}

func share(bytes int64, share float64) int64 { return int64(share * float64(bytes)) }

func evictAll(victims []victim) {
	for _, v := range victims {
		v.end(v.state)
	}
}

// Release takes from what a connection holds.
func (a *Account) Release(bytes int64) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes = min(bytes, a.held)
	a.add(-bytes)
	if a.pending {
		l.evicting -= bytes
	}
}

// Share tells that requests are served side by side: while one is served, the connection is.
func (a *Account) Share() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.shared = true
}

// Enter tells that a connection enters a phase.
func (a *Account) Enter(now time.Time, p Phase) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if p == Body && a.shared && a.phase == Serving {
		return
	}
	if p == Idle {
		a.used = true
	}
	if a.evicted {
		return
	}
	a.enter(p)
	a.since, a.heardAt, a.received = now, now, 0
}

// BeginSend tells that a connection begins to wait for its client to take a part of a response.
func (a *Account) BeginSend(now time.Time) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.sendingAt = now
}

// EndSend tells that the client has taken the part.
func (a *Account) EndSend() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.sendingAt = time.Time{}
}

// Receive tells that bytes have arrived, and returns the phase in which they have. first reports that
// they begin a request, and late that its client is too slow.
func (a *Account) Receive(now time.Time, bytes int64) (p Phase, first, late bool) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.phase == Idle {
		first = true
		a.enter(Head)
		a.since, a.received = now, 0
	}
	if !a.phase.isReceiving() {
		return a.phase, false, false
	}
	a.received += bytes
	a.heardAt = now
	return a.phase, first, l.limits.StallTimeout > 0 && a.lateness(now) > l.limits.StallTimeout
}

// IsReceiving reports whether a part of a request is still to come.
func (a *Account) IsReceiving() bool {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.phase.isReceiving()
}

// State returns what a connection waits for, and what its requests hold, bytes.
func (a *Account) State() (p Phase, held int64) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.phase, a.held
}

// Close closes the account: the connection has ended. It may be called twice.
func (a *Account) Close() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.index < 0 {
		return
	}
	last := len(l.accounts) - 1
	l.accounts[a.index] = l.accounts[last]
	l.accounts[a.index].index = a.index
	l.accounts[last] = nil
	l.accounts = l.accounts[:last]
	a.index = -1
	a.enter(Idle)
	l.held -= a.base + a.held
	if a.evicted {
		l.evicted--
		if a.pending {
			l.evicting -= a.base + a.held
		}
	}
	a.base, a.held = 0, 0
}

// Use returns how many connections are open, and what they hold, bytes.
func (l *Ledger) Use() (connections int, held int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts), l.held
}
