package admission

import "time"

// retryBudgets holds one retry budget per key, for at most max keys. When it is
// full, the least recently used budget is removed.
type retryBudgets[K comparable] struct {
	options Options
	max     int
	byKey   map[K]*bucket
}

func newRetryBudgets[K comparable](o Options, maxKeys int) retryBudgets[K] {
	return retryBudgets[K]{options: o, max: maxKeys, byKey: map[K]*bucket{}}
}

func (b *retryBudgets[K]) get(now time.Time, key K) *bucket {
	budget, ok := b.byKey[key]
	if !ok {
		b.evict()
		budget = &bucket{}
		b.byKey[key] = budget
	}
	budget.refill(now, b.options.RetryPerSec, b.options.RetryBurst)
	return budget
}

func (b *retryBudgets[K]) evict() {
	if len(b.byKey) < b.max {
		return
	}
	var oldest K
	var oldestRefill time.Time
	for key, budget := range b.byKey {
		if oldestRefill.IsZero() || budget.refilledAt.Before(oldestRefill) {
			oldest, oldestRefill = key, budget.refilledAt
		}
	}
	delete(b.byKey, oldest)
}
