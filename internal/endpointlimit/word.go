package endpointlimit

import (
	"math"
	"strconv"
	"strings"
)

// Endpoint names one run of an endpoint's process. Another run is not bound by what this
// one said.
type Endpoint struct {
	ID   string
	Born uint64 // start of the process, Unix ms; 0 where it doesn't say
}

// Kind is what an answer says of its endpoint's limit.
type Kind int

// The kinds.
const (
	KindNone       Kind = iota // it names no limit
	KindNamed                  // it names one
	KindUnreadable             // what it names is no limit: what was said before holds
)

// String gives the name used in logs and metrics.
func (k Kind) String() string { return [...]string{"none", "named", "unreadable"}[k] }

// Word is what one answer says of its endpoint's limit.
type Word struct {
	Kind Kind
	// PerSecond is how many requests a second the endpoint takes, of KindNamed only.
	PerSecond float64
}

// mostPerSecond bounds a limit that is taken for one. No endpoint serves as many, and a
// larger number would lift the limit that was named before.
const mostPerSecond = 1e6

// ParseWord reads the values of a header, each a decimal number or several with commas.
// Of more than one the least counts: it keeps to all of them.
func ParseWord(values []string) Word {
	word := Word{Kind: KindNone}
	for _, value := range values {
		for _, number := range strings.Split(value, ",") {
			word = word.and(parseNumber(number))
		}
	}
	return word
}

// IsLimit tells whether a number of requests a second can be a limit.
func IsLimit(perSecond float64) bool {
	return !math.IsNaN(perSecond) && perSecond >= 0 && perSecond <= mostPerSecond
}

func parseNumber(text string) Word {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !IsLimit(perSecond) {
		return Word{Kind: KindUnreadable}
	}
	return Word{Kind: KindNamed, PerSecond: perSecond}
}

// and joins the word of one value to that of those before it.
func (w Word) and(other Word) Word {
	switch {
	case w.Kind != KindNamed:
		return other
	case other.Kind != KindNamed:
		return w
	}
	return Word{Kind: KindNamed, PerSecond: min(w.PerSecond, other.PerSecond)}
}
