package endpointlimit

import "time"

// Heard is the newest that is known of one endpoint's limit. The zero Heard is that of an
// endpoint which never named one.
type Heard struct {
	Limited   bool
	PerSecond float64
	// At is when it held: the arrival of an answer that named a limit, or the sending of
	// the request whose answer named none.
	//
	// An answer may be old: it names no limit since it was made before the one that came
	// first. A request that was sent after a limit was heard has its answer made after it.
	At time.Time
}

// hear takes in the word of an answer to a request that was sent at sent, and tells
// whether it changed anything.
func (h *Heard) hear(now, sent time.Time, w Word) bool {
	before := *h
	switch {
	case w.Kind == KindNamed:
		*h = Heard{Limited: true, PerSecond: w.PerSecond, At: now}
	case w.Kind == KindNone && h.Limited && sent.After(h.At):
		*h = Heard{At: sent}
	}
	return h.Limited != before.Limited || h.PerSecond != before.PerSecond
}

// newer takes in what another process has heard, where that is newer.
func (h *Heard) newer(other Heard) {
	if other.At.After(h.At) {
		*h = other
	}
}
