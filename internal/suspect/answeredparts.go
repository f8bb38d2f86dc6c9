package suspect

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxAnsweredParts limits the parts that are remembered as answered. A flood of parts that come
// once displaces none that comes again and again: the cache keeps these apart.
const maxAnsweredParts = 4096

// AnsweredParts remembers which parts of prompts endpoints have lately answered. It is safe for
// concurrent use.
type AnsweredParts struct {
	answered *lru.TwoQueueCache[PartKey, time.Time]
}

// NewAnsweredParts returns an empty memory.
func NewAnsweredParts() *AnsweredParts {
	cache, err := lru.New2Q[PartKey, time.Time](maxAnsweredParts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &AnsweredParts{answered: cache}
}

// Record records that an endpoint of a kind has answered a request with some parts. The last part,
// which is the request's own, is left out.
func (a *AnsweredParts) Record(now time.Time, kind EndpointKind, parts fleet.PromptParts) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts[:len(parts)-1] {
		a.answered.Add(PartKey{EndpointKind: kind, Part: part}, now)
	}
}

// Contains reports whether a part was answered within ProvenTTL.
func (a *AnsweredParts) Contains(now time.Time, key PartKey) bool {
	at, ok := a.answered.Get(key)
	return ok && now.Sub(at) < ProvenTTL
}
