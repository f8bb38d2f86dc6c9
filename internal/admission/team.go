package admission

import "time"

// team is the state that Control keeps of one team.
type team struct {
	running  int
	rate     bucket
	share    float64
	patience time.Duration // of its last request
	offered  decayingSum   // requested work
	admitted decayingSum   // admitted work
	lastSeen time.Time     // last request
	bias     bias
}
