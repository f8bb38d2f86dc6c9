package admission

import (
	"math/rand/v2"
	"time"
)

// Options tunes a Control. Zero fields get defaults.
type Options struct {
	Random        *rand.Rand    // spreads Retry-After; default: a fixed seed
	MaxTeams      int           // teams remembered, default 4096
	MaxEndpoints  int           // endpoints with a retry budget, default 4096
	Window        time.Duration // over which shares are measured, default 5s
	RetryRatio    float64       // retries earned by a success, default 0.1
	RetryPerSec   float64       // retries earned by time alone, default 0.2
	RetryBurst    float64       // most retries saved up, default 10
	RetryAfterMin time.Duration // default 100ms
	RetryAfterMax time.Duration // default 30s
}

func (o Options) withDefaults() Options {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
	setDefault(&o.MaxTeams, 4096)
	setDefault(&o.MaxEndpoints, 4096)
	setDefault(&o.Window, 5*time.Second)
	setDefault(&o.RetryRatio, 0.1)
	setDefault(&o.RetryPerSec, 0.2)
	setDefault(&o.RetryBurst, 10)
	setDefault(&o.RetryAfterMin, 100*time.Millisecond)
	setDefault(&o.RetryAfterMax, 30*time.Second)
	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
