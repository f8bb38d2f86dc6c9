package allocation

import (
	"slices"
	"time"
)

// The figures of an Account.
const (
	// doubtFor is how long an endpoint is left alone that one entry could not
	// reach: the fault may be that entry's, and others hear of it within this
	// time only if they try. goneFor is the same once a second entry has told so
	// within goneMemory: one that restarts is back within seconds, and each try of
	// one that is dark costs a request a fifth of a second.
	doubtFor   = 300 * time.Millisecond
	goneFor    = time.Second
	goneMemory = 3 * time.Second
	// trialFor is how long one request tries an endpoint that was left alone,
	// before others follow: an endpoint that says nothing is known by then.
	trialFor = 400 * time.Millisecond
	// slowLife is the time in which a seen slowness of a reader loses half of its
	// weight: readers are held up for some seconds, and the end must show soon.
	slowLife = time.Second
	// lapseFactor and lapseSlack bound how long a place counts that nobody gives
	// back, as when an entry died: its answers end with it.
	lapseFactor = 2
	lapseSlack  = 2 * time.Second
	// unknownFor is how long an entry may be unknown that has just started.
	unknownFor = 2 * time.Second
	// crossZone is the cost of leaving the entry's zone, as a share of an
	// endpoint: bytes between zones are paid for, and KV caches take longer.
	crossZone = 0.15
	// crossZoneRead is the wait at a reader in the endpoint's zone that is as
	// good as none in another one: a cache crosses zones in twice the time.
	crossZoneRead = 15 * time.Millisecond
)

// Account is the account of one service's endpoints.
type Account struct{ books map[string]*book }

// NewAccount makes an account that knows of no use.
func NewAccount() *Account { return &Account{books: map[string]*book{}} }

func (a *Account) book(id string) *book {
	b := a.books[id]
	if b == nil {
		b = &book{}
		a.books[id] = b
	}
	return b
}

// Allot finds a place and counts it in; the zero Grant when there is none now.
func (a *Account) Allot(now time.Time, endpoints []Endpoint, ask Ask) Grant {
	at := a.generator(now, endpoints, ask)
	if at == nil {
		return Grant{}
	}
	grant := Grant{Endpoint: at.ID}
	if ask.Reading > 0 {
		reader, backlog := a.reader(now, endpoints, ask, at.Zone)
		switch {
		case reader != nil && backlog <= ask.LongestBacklog:
			grant.Reader, grant.Backlog = reader.ID, backlog
		case !ask.ReadsOwn && reader != nil:
			return Grant{}
		}
	}
	a.enter(now, ask, grant)
	return grant
}

func (a *Account) enter(now time.Time, ask Ask, grant Grant) {
	b := a.book(grant.Endpoint)
	b.held = append(b.held, held{
		exchange: ask.Exchange, entry: ask.Entry, prompt: ask.Prompt, output: ask.Output, capacity: ask.Capacity,
		reader: grant.Reader, reading: ask.Reading, since: now, length: grant.Backlog + ask.Reading + ask.Length,
	})
	b.tried(now)
	if grant.Reader != "" {
		r := a.book(grant.Reader)
		r.busyUntil = now.Add(grant.Backlog + ask.Reading)
		r.tried(now)
	}
}

// generator picks the endpoint with room that costs least; nil for none.
func (a *Account) generator(now time.Time, endpoints []Endpoint, ask Ask) *Endpoint {
	var best *Endpoint
	least := 0.0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Reads || !e.fits(ask) {
			continue
		}
		b := a.book(e.ID)
		used := b.used(now)
		if !b.open(now) || len(b.held) >= e.Slots || used+ask.Prompt+ask.Output > ask.Capacity {
			continue
		}
		cost := float64(used) / float64(max(1, ask.Capacity))
		if e.Zone != ask.Zone {
			cost += crossZone
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// Room sums up what is free for a request.
func (a *Account) Room(now time.Time, endpoints []Endpoint, ask Ask) Room {
	var r Room
	for i := range endpoints {
		e := &endpoints[i]
		if !e.Reads && e.fits(ask) {
			r.Among++
			r.MostFree = max(r.MostFree, ask.Capacity-a.book(e.ID).used(now))
		}
	}
	return r
}

// reader picks the reader that is free first; nil when there are none.
func (a *Account) reader(now time.Time, endpoints []Endpoint, ask Ask, zone string) (best *Endpoint, backlog time.Duration) {
	var least time.Duration
	for i := range endpoints {
		e := &endpoints[i]
		b := a.book(e.ID)
		if !e.Reads || !e.fits(ask) || !b.open(now) {
			continue
		}
		wait := max(0, b.busyUntil.Sub(now)) + b.reading(now, ask) - ask.Reading
		cost := wait
		if e.Zone != zone {
			cost += crossZoneRead
		}
		if best == nil || cost < least {
			best, least, backlog = e, cost, wait
		}
	}
	return best, backlog
}

// Settle ends the use of a place, as an entry tells.
func (a *Account) Settle(now time.Time, endpoint, exchange, entry string, o Outcome) {
	b := a.book(endpoint)
	i := slices.IndexFunc(b.held, func(h held) bool { return h.exchange == exchange })
	var settled held
	if i >= 0 {
		settled = b.held[i]
		b.held = slices.Delete(b.held, i, i+1)
	}
	switch o {
	case OutcomeFull:
		b.refused(now, settled)
		a.giveBackReading(settled)
	case OutcomeGone:
		b.gone(now, entry)
		a.giveBackReading(settled)
	case OutcomeDone:
	}
}

// giveBackReading takes back what a reader was promised to for a request that found
// no place after all.
func (a *Account) giveBackReading(h held) {
	if h.reader != "" {
		r := a.book(h.reader)
		r.busyUntil = r.busyUntil.Add(-h.reading)
	}
}

// Read takes in that a reader did not read as promised.
func (a *Account) Read(now time.Time, reader, entry string, o Outcome, promised, took time.Duration) {
	b := a.book(reader)
	if o == OutcomeGone {
		b.gone(now, entry)
		return
	}
	b.wasLate(now, promised, max(0, took-promised))
}

// DropEntries forgets the places of entries that are gone: their callers'
// connections have ended with them, and endpoints stop for that. An entry that
// has just started may be unknown for a moment, but has no old places.
func (a *Account) DropEntries(now time.Time, alive func(entry string) bool) {
	for _, b := range a.books {
		b.held = slices.DeleteFunc(b.held, func(h held) bool { return now.Sub(h.since) > unknownFor && !alive(h.entry) })
	}
}

// Keep forgets all endpoints but those given.
func (a *Account) Keep(endpoints []Endpoint) {
	known := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		known[e.ID] = true
	}
	for id := range a.books {
		if !known[id] {
			delete(a.books, id)
		}
	}
}
