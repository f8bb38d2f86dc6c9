package load

import (
	"math/rand/v2"
	"time"
)

// Pattern names a process of arrivals.
type Pattern string

// The patterns. Bursty is Poisson whose rate is Burst times the mean for On,
// then lower for Off so that the mean holds.
const (
	PatternPoisson Pattern = "poisson"
	PatternBursty  Pattern = "bursty"
	PatternUniform Pattern = "uniform"
)

// Arrivals describes when requests come.
type Arrivals struct {
	Pattern Pattern       `yaml:"pattern"` // default poisson
	Burst   float64       `yaml:"burst"`
	On      time.Duration `yaml:"on"`
	Off     time.Duration `yaml:"off"`
}

// clock draws the intended times of one stream's requests.
type clock struct {
	arrivals Arrivals
	rate     float64 // mean, requests a second
	random   *rand.Rand
	at       time.Duration // of the last arrival
}

// next gives the time of the next arrival from the start of the run.
func (c *clock) next() time.Duration {
	switch c.arrivals.Pattern {
	case PatternUniform:
		c.at += seconds(1 / c.rate)
	case PatternBursty:
		c.at = c.nextBursty()
	default:
		c.at += seconds(c.random.ExpFloat64() / c.rate)
	}
	return c.at
}

// nextBursty spends an exponential amount of expected arrivals over the phases
// of high and low rate.
func (c *clock) nextBursty() time.Duration {
	a := c.arrivals
	cycle := a.On + a.Off
	high := c.rate * a.Burst
	low := c.rate * (cycle.Seconds() - a.Burst*a.On.Seconds()) / a.Off.Seconds()
	due := c.random.ExpFloat64()
	at := c.at
	for {
		phase := at % cycle
		rate, end := high, a.On
		if phase >= a.On {
			rate, end = low, cycle
		}
		left := end - phase
		if holds := rate * left.Seconds(); holds < due {
			due -= holds
			at += left
			continue
		}
		return at + seconds(due/rate)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
