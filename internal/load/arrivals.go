package load

import (
	"math/rand/v2"
	"time"
)

// Pattern names an arrival process.
type Pattern string

// The patterns. Bursty is a Poisson process whose rate is Burst times the mean for
// the duration On, then lower for Off so that the mean rate is kept.
const (
	PatternPoisson Pattern = "poisson"
	PatternBursty  Pattern = "bursty"
	PatternUniform Pattern = "uniform"
)

// Arrivals describes when requests arrive.
type Arrivals struct {
	Pattern Pattern       `yaml:"pattern"` // default poisson
	Burst   float64       `yaml:"burst"`
	On      time.Duration `yaml:"on"`
	Off     time.Duration `yaml:"off"`
}

// arrivalProcess generates the intended times of one stream's requests.
type arrivalProcess struct {
	arrivals Arrivals
	rate     float64 // mean, requests a second
	random   *rand.Rand
	last     time.Duration // time of the last arrival
}

// next returns the time of the next arrival, from the start of the run.
func (c *arrivalProcess) next() time.Duration {
	switch c.arrivals.Pattern {
	case PatternUniform:
		c.last += seconds(1 / c.rate)
	case PatternBursty:
		c.last = c.nextBursty()
	default:
		c.last += seconds(c.random.ExpFloat64() / c.rate)
	}
	return c.last
}

// nextBursty draws an exponential number of expected arrivals and advances through
// the phases of high and low rate until they add up to it.
func (c *arrivalProcess) nextBursty() time.Duration {
	a := c.arrivals
	cycle := a.On + a.Off
	high := c.rate * a.Burst
	low := c.rate * (cycle.Seconds() - a.Burst*a.On.Seconds()) / a.Off.Seconds()
	due := c.random.ExpFloat64()
	at := c.last
	for {
		phase := at % cycle
		rate, end := high, a.On
		if phase >= a.On {
			rate, end = low, cycle
		}
		remaining := end - phase
		if expected := rate * remaining.Seconds(); expected < due {
			due -= expected
			at += remaining
			continue
		}
		return at + seconds(due/rate)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
