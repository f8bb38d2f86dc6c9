package dispatch

import "time"

// firstSpeed is how many tokens of a prompt an endpoint reads in a second, as
// long as nothing was measured.
const firstSpeed = 30_000

// speedFade is by how much a measured speed counts less at each newer one, so
// that a faster or slower kind of endpoint shows after some hundred prompts.
const speedFade = 0.01

// speed is the highest speed of reading seen lately: slower ones waited.
type speed struct{ tokensPerSecond float64 }

// HaveRead takes in that an endpoint read a prompt in some time, waits
// included. How long it waited tells most of others' prompts there: entries
// hear of them only with their own answers.
func (b *Book) HaveRead(now time.Time, e *Endpoint, tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.speeds[e.Service]
	if s == nil {
		s = &speed{tokensPerSecond: firstSpeed}
		b.speeds[e.Service] = s
	}
	s.tokensPerSecond = max(seen, s.tokensPerSecond-speedFade*(s.tokensPerSecond-seen))
	state := b.state(e.Incarnation())
	state.waited = max(0, s.tokensPerSecond/seen-1)
	state.waitedAt = now
}

// ReadingTime is about how long a prompt takes at an endpoint, with the given
// cost by waiting prompts, in units of this one.
func (b *Book) ReadingTime(service string, tokens int, before float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := float64(firstSpeed)
	if s := b.speeds[service]; s != nil {
		rate = s.tokensPerSecond
	}
	return time.Duration((1 + before) * float64(tokens) / rate * float64(time.Second))
}

// Reading decides whether a prompt is read by an endpoint that reads for
// others, or where its answer is generated.
//
// Load pattern: some of the readers are lost under load, and those left are
// asked for more than they can read. What waits there misses its target, while
// the generating endpoints, whose memory is what binds them, have time to
// spare. They read at half the speed and between the tokens of the streams
// that they generate, so a long prompt would hold those up beyond their pause.
type Reading struct {
	Gap    time.Duration // longest pause in target of the streams beside it; 0 for none
	Policy Policy
}

// Place is where a prompt is read.
type Place int

// The places.
const (
	PlaceReader Place = iota // by an endpoint that reads for others
	PlaceOwn                 // where its answer is generated
	PlaceLater               // nowhere yet: it has to wait
)

// String gives the name used in logs and metrics.
func (p Place) String() string { return [...]string{"reader", "own", "later"}[p] }

// The figures of a Reading.
const (
	// ownReadingFactor is by how much longer the generating endpoint reads.
	ownReadingFactor = 2
	// readerWait is how long a prompt may take at a reader. Memory is held for
	// it meanwhile, which at a fleet that is full is missing elsewhere.
	readerWait = 400 * time.Millisecond
	// gapShare is the part of a pause that reading may take from the streams
	// beside it, which need the rest for their own tokens.
	gapShare = 0.75
)

// Bounds gives how much may stand before a prompt at a reader that takes some
// time by itself there, and whether the prompt may be read where its answer is
// generated.
func (r Reading) Bounds(alone time.Duration) (longestBacklog time.Duration, readsOwn bool) {
	own := ownReadingFactor * alone
	return max(readerWait, own) - alone, r.mayReadOwn(own)
}

func (r Reading) mayReadOwn(own time.Duration) bool {
	return r.Policy.Has(OwnReading) && (r.Gap == 0 || own <= time.Duration(gapShare*float64(r.Gap)))
}

// Choose tells where the prompt is read: alone is how long it takes at a
// reader by itself, and whole with those before it.
func (r Reading) Choose(alone, whole time.Duration) Place {
	own := ownReadingFactor * alone
	if whole <= max(readerWait, 2*alone) || whole <= own {
		return PlaceReader
	}
	if r.mayReadOwn(own) {
		return PlaceOwn
	}
	return PlaceLater
}
