package settings

import "time"

// ProvisionMode selects what is done with the orders that the fleet's planners
// plan for endpoints.
type ProvisionMode string

// The provision modes.
const (
	ProvisionOff    ProvisionMode = "off"    // nothing is planned
	ProvisionAdvise ProvisionMode = "advise" // orders are logged and put on the time line, but not sent
	ProvisionAct    ProvisionMode = "act"    // orders are sent to endpoints
)

var provisionModes = []string{string(ProvisionAdvise), string(ProvisionOff), string(ProvisionAct)}

// Provision configures how models are loaded according to demand, and how engines
// are moved between prefill and decode.
type Provision struct {
	Mode            ProvisionMode `yaml:"mode"`              // default "advise"
	Poll            time.Duration `yaml:"poll"`              // interval between checks of demand, default 5s
	Hold            time.Duration `yaml:"hold"`              // how long a need must last to be acted on, default 15s
	CoolDown        time.Duration `yaml:"cool_down"`         // cooldown of an endpoint after an order, default 2m
	Drain           time.Duration `yaml:"drain"`             // maximum wait for an endpoint to be idle before it loses a model or its role, default 30s
	ModelsPerEngine int           `yaml:"models_per_engine"` // models that an engine can hold at once, default 1
	PrefillRate     int           `yaml:"prefill_rate"`      // prompt tokens per second of one engine, default 4000
}

// DefaultProvision returns the provision values that a fleet subtree doesn't set.
func DefaultProvision() Provision {
	return Provision{
		Mode:            ProvisionAdvise,
		Poll:            5 * time.Second,
		Hold:            15 * time.Second,
		CoolDown:        2 * time.Minute,
		Drain:           30 * time.Second,
		ModelsPerEngine: 1,
		PrefillRate:     4000,
	}
}

// Ranges of the provision values.
const (
	minProvisionPoll   = 200 * time.Millisecond
	maxProvisionPoll   = time.Minute
	maxProvisionHold   = time.Hour
	maxModelsPerEngine = 256
	maxPrefillRate     = 10_000_000
)

func (c checker) provision(p Provision) {
	c.oneOf("provision.mode", string(p.Mode), provisionModes)
	checkRange(c, "provision.poll", p.Poll, minProvisionPoll, maxProvisionPoll)
	checkRange(c, "provision.hold", p.Hold, minProvisionPoll, maxProvisionHold)
	checkRange(c, "provision.cool_down", p.CoolDown, minProvisionPoll, maxProvisionHold)
	checkRange(c, "provision.drain", p.Drain, minProvisionPoll, maxProvisionHold)
	checkRange(c, "provision.models_per_engine", p.ModelsPerEngine, 1, maxModelsPerEngine)
	checkRange(c, "provision.prefill_rate", p.PrefillRate, 1, maxPrefillRate)
	// A need must be seen in more than one check of demand to count as lasting.
	if p.Hold < p.Poll {
		c.fault("provision.hold", "keep hold >= poll", "hold %v is under poll %v", p.Hold, p.Poll)
	}
}
