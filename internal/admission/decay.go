package admission

import (
	"math"
	"time"
)

// decaying is a sum in which an amount loses weight by e in each window.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, amount float64, window time.Duration) {
	d.sum = d.value(now, window) + amount
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decaying) value(now time.Time, window time.Duration) float64 {
	passed := now.Sub(d.at)
	if passed <= 0 || d.sum == 0 {
		return d.sum
	}
	return d.sum * math.Exp(-float64(passed)/float64(window))
}
