package settings

import "time"

// ProvisionMode tells what becomes of the orders that the fleet's planners
// want given to endpoints.
type ProvisionMode string

// The modes.
const (
	ProvisionOff    ProvisionMode = "off"    // nothing is planned
	ProvisionAdvise ProvisionMode = "advise" // logged and put on the time line, not given
	ProvisionAct    ProvisionMode = "act"    // given
)

var provisionModes = []string{string(ProvisionAdvise), string(ProvisionOff), string(ProvisionAct)}

// Provision sets how models are loaded where demand is, and how engines change
// between prefill and decode.
type Provision struct {
	Mode            ProvisionMode `yaml:"mode"`              // default "advise"
	Poll            time.Duration `yaml:"poll"`              // between two looks at demand, default 5s
	Hold            time.Duration `yaml:"hold"`              // how long a need must last, default 15s
	CoolDown        time.Duration `yaml:"cool_down"`         // rest of an endpoint after an order, default 2m
	Drain           time.Duration `yaml:"drain"`             // longest wait for an endpoint to be idle before it loses a model or its role, default 30s
	ModelsPerEngine int           `yaml:"models_per_engine"` // models that an engine can hold at once, default 1
	PrefillRate     int           `yaml:"prefill_rate"`      // prompt tokens a second of one engine, default 4000
}

// DefaultProvision is in force where a fleet subtree names none.
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
	between(c, "provision.poll", p.Poll, minProvisionPoll, maxProvisionPoll)
	between(c, "provision.hold", p.Hold, minProvisionPoll, maxProvisionHold)
	between(c, "provision.cool_down", p.CoolDown, minProvisionPoll, maxProvisionHold)
	between(c, "provision.drain", p.Drain, minProvisionPoll, maxProvisionHold)
	between(c, "provision.models_per_engine", p.ModelsPerEngine, 1, maxModelsPerEngine)
	between(c, "provision.prefill_rate", p.PrefillRate, 1, maxPrefillRate)
	// A need seen in one look alone is no lasting one.
	if p.Hold < p.Poll {
		c.fault("provision.hold", "keep hold >= poll", "hold %v is under poll %v", p.Hold, p.Poll)
	}
}
