package admission

import "time"

// team is what Control remembers of one team.
type team struct {
	running  int
	rate     bucket
	share    float64
	patience time.Duration // of its last request
	offered  decaying      // work asked for
	admitted decaying      // work taken
	seen     time.Time
	bias     bias
}
