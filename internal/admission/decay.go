package admission

import (
	"math"
	"time"
)

// decayingSum is a sum whose amounts decay by a factor of e in each window.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (d *decayingSum) add(now time.Time, amount float64, window time.Duration) {
	d.sum = d.value(now, window) + amount
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decayingSum) value(now time.Time, window time.Duration) float64 {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 || d.sum == 0 {
		return d.sum
	}
	return d.sum * math.Exp(-float64(elapsed)/float64(window))
}
