package admission

import "time"

// budgets holds one retry budget for each key, at most max of them: the one
// unused for longest makes room.
type budgets[K comparable] struct {
	options Options
	max     int
	byKey   map[K]*bucket
}

func newBudgets[K comparable](o Options, most int) budgets[K] {
	return budgets[K]{options: o, max: most, byKey: map[K]*bucket{}}
}

func (b *budgets[K]) get(now time.Time, key K) *bucket {
	budget, ok := b.byKey[key]
	if !ok {
		b.makeRoom()
		budget = &bucket{}
		b.byKey[key] = budget
	}
	budget.fill(now, b.options.RetryPerSec, b.options.RetryBurst)
	return budget
}

func (b *budgets[K]) makeRoom() {
	if len(b.byKey) < b.max {
		return
	}
	var oldest K
	var filled time.Time
	for key, budget := range b.byKey {
		if filled.IsZero() || budget.filled.Before(filled) {
			oldest, filled = key, budget.filled
		}
	}
	delete(b.byKey, oldest)
}
