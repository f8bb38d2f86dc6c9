package allocation

import (
	"slices"
	"time"
)

// held is one place in use.
type held struct {
	exchange       string
	entry          string
	prompt, output int
	capacity       int           // of the endpoint
	reader         string        // that was promised; empty for none
	reading        time.Duration // of that promise
	since          time.Time
	length         time.Duration // from reading to the end
}

func (h held) lapsed(at time.Time) bool {
	return at.Sub(h.since) > lapseFactor*h.length+lapseSlack
}

// book is what is known of one endpoint.
type book struct {
	held      []held
	unknown   unknownUse
	busyUntil time.Time // as a reader
	slowness  float64   // as a reader, as seen: by how much longer it took than promised, 0 for none
	slowAt    time.Time // when that was seen
	leftUntil time.Time // left alone until then
	onTrial   bool      // was left alone, and is to be tried by one request
	goneBy    string    // entry that could not reach it last
	goneAt    time.Time
}

// open tells whether the endpoint may get work now.
func (b *book) open(now time.Time) bool { return !now.Before(b.leftUntil) }

// tried notes that a request goes there.
func (b *book) tried(now time.Time) {
	if b.onTrial {
		b.onTrial = false
		b.leftUntil = now.Add(trialFor)
	}
}

// gone notes that an entry could not reach it.
//
// Failure guarded: one entry is cut off from endpoints that all others reach, and
// its word alone would keep the fleet from them.
func (b *book) gone(now time.Time, entry string) {
	pause := doubtFor
	if b.goneBy != entry && now.Sub(b.goneAt) < goneMemory {
		pause = goneFor
	}
	b.goneBy, b.goneAt = entry, now
	b.leftUntil, b.onTrial = now.Add(pause), true
}

// reading is how long a reader takes for a prompt.
func (b *book) reading(now time.Time, ask Ask) time.Duration {
	return time.Duration((1 + b.slownessNow(now)) * float64(ask.Reading))
}

// slownessNow fades with time: a reader that nobody chooses while it counts as slow
// would else never show that it is sound again.
func (b *book) slownessNow(now time.Time) float64 {
	age := max(0, now.Sub(b.slowAt))
	return b.slowness * float64(slowLife) / float64(slowLife+age)
}

// wasLate takes in that a prompt came back later than promised.
func (b *book) wasLate(now time.Time, promised, late time.Duration) {
	b.busyUntil = b.busyUntil.Add(late)
	b.slowness = max(b.slownessNow(now), float64(late)/float64(max(promised, time.Millisecond)))
	b.slowAt = now
}

// unknownUse is memory in use that the account knows only by an endpoint's refusal.
//
// Failure guarded: a home begins to keep account while hundreds of answers are
// under way, as after the one before died. It takes full endpoints for empty ones,
// and names them again and again. What a refusal shows to be in use counts, and
// fades in the time of one answer, as those unknown ones end.
type unknownUse struct {
	tokens int
	seen   time.Time
	length time.Duration
}

func (u unknownUse) now(at time.Time) int {
	left := 1 - float64(at.Sub(u.seen))/float64(max(u.length, time.Millisecond))
	return int(max(0, left) * float64(u.tokens))
}

// refused takes in that the endpoint had no room for h, which is settled already.
func (b *book) refused(now time.Time, h held) {
	known := b.used(now) - b.unknown.now(now)
	b.unknown = unknownUse{tokens: max(0, h.capacity-known-h.prompt-h.output+1), seen: now, length: h.length}
}

// used is how many tokens are held. Places that lapsed are forgotten.
func (b *book) used(now time.Time) int {
	b.held = slices.DeleteFunc(b.held, func(h held) bool { return h.lapsed(now) })
	used := b.unknown.now(now)
	for _, h := range b.held {
		used += h.prompt + h.output
	}
	return used
}
