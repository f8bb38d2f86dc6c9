package follower

import "context"

// noWay fills nothing.
const noWay = -1

// filling is which way takes in a large fleet in parts. The other one waits
// meanwhile: it would ask for the same parts, and have the entry's link carry the
// fleet twice.
type filling struct {
	way  int
	over chan struct{} // closed and replaced when it ends
}

func newFilling() filling { return filling{way: noWay, over: make(chan struct{})} }

// told takes in whether more parts follow the one that a way has got.
func (f *filling) told(way int, more bool) {
	switch {
	case more && f.way == noWay:
		f.way = way
	case !more:
		f.end(way)
	}
}

// end lets the other way go on, if it waits for this one.
func (f *filling) end(way int) {
	if f.way != way {
		return
	}
	f.way = noWay
	close(f.over)
	f.over = make(chan struct{})
}

// awaitFilling returns when no other way takes in the fleet in parts.
func (f *Follower) awaitFilling(ctx context.Context, way int) {
	for ctx.Err() == nil {
		f.mu.Lock()
		waits, over := f.filling.way != noWay && f.filling.way != way, f.filling.over
		f.mu.Unlock()
		if !waits {
			return
		}
		awaitEither(ctx, over)
	}
}

func (f *Follower) endFilling(way int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filling.end(way)
}
