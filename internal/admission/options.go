package admission

import (
	"math/rand/v2"
	"time"
)

// Options configures a Control. Zero fields get defaults.
type Options struct {
	Random        *rand.Rand    // for the jitter of RetryAfter; default: a fixed seed
	MaxTeams      int           // maximum number of teams tracked, default 4096
	MaxEndpoints  int           // maximum number of endpoints with a retry budget, default 4096
	Window        time.Duration // decay time of the measured shares, default 5s
	RetryRatio    float64       // retries earned per success, default 0.1
	RetryPerSec   float64       // retries earned per second, default 0.2
	RetryBurst    float64       // maximum retries saved up, default 10
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
