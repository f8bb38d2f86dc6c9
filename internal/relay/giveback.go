package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// The bounds of freeing memory that engines keep for an exchange.
const (
	// releaseTimeout bounds one call; engines answer it at once, and what they
	// keep lapses within two seconds.
	releaseTimeout = time.Second
	// mostGiveBacks bounds the calls under way. Ten endpoints of a hundred
	// requests each that die together need as many for a moment; beyond them
	// memory is left to lapse.
	mostGiveBacks = 64
)

// giveBacks frees memory at engines in the background.
//
// Failure guarded: a caller leaves between the reading of its prompt and its
// run. What was read and the room set aside stay until they lapse, up to two
// seconds, and others are refused for want of that room. The caller's final
// answer doesn't wait for it.
type giveBacks struct {
	places chan struct{}
}

func newGiveBacks() giveBacks { return giveBacks{places: make(chan struct{}, mostGiveBacks)} }

// run starts free, and tells whether there was a place for it.
func (g giveBacks) run(free func(ctx context.Context)) bool {
	select {
	case g.places <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-g.places }()
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		free(ctx)
	}()
	return true
}

// dropPlace frees the room that was set aside for the exchange.
func (l *life) dropPlace(at *place) {
	l.settleAllotted(dispatch.OutcomeGivenUp)
	l.dropHold(at)
}

func (l *life) dropHold(at *place) {
	if at.hold == "" {
		return
	}
	l.giveBack(func(ctx context.Context) { l.router.options.Endpoints.DropHold(ctx, at.endpoint, at.hold) })
}

// releaseSource frees the prompt that was read and that nobody will take.
func (l *life) releaseSource() {
	read := l.source
	if read == nil {
		return
	}
	l.source = nil
	l.giveBack(func(ctx context.Context) { l.router.options.Endpoints.Release(ctx, read.endpoint, read.handle) })
}

func (l *life) giveBack(free func(ctx context.Context)) { l.router.giveBack(free) }

func (r *Router) giveBack(free func(ctx context.Context)) {
	if !r.giveBacks.run(free) {
		r.metrics.leftToLapse.Inc()
	}
}
