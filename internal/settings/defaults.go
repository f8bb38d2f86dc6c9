package settings

import "time"

// Defaults of the fleet subtree.
const (
	DefaultServiceTimeout  = 30 * time.Second
	DefaultConcurrentLoads = 2
	DefaultLoadTime        = 10 * time.Minute
)

// DefaultTimeouts returns the values of timeouts that a fleet subtree doesn't set.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		InstanceLease:     2 * time.Second,
		SettingsLease:     3 * time.Second,
		EndpointHeartbeat: 300 * time.Millisecond,
		EndpointLease:     1500 * time.Millisecond,
		GrantLife:         2 * time.Second,
		AddressKeep:       5 * time.Second,
		RecordLife:        10 * time.Minute,
		KVLife:            800 * time.Millisecond,
		Transfer:          600 * time.Millisecond,
		QuarantineLife:    time.Hour,
	}
}

// DefaultDecisions returns the policies of decisions that a fleet subtree doesn't set.
func DefaultDecisions() Decisions {
	return Decisions{
		Prefill: "sampled-wait",
		Decode:  "two-choices",
		Start:   "predicted-room",
		Plain:   "two-choices",
	}
}

// defaultFleet returns the values of a fleet subtree before it is decoded.
func defaultFleet() Fleet {
	return Fleet{
		WeightStore: WeightStore{Rate: 1e9, ConcurrentLoads: DefaultConcurrentLoads},
		Decisions:   DefaultDecisions(),
		Provision:   DefaultProvision(),
		Timeouts:    DefaultTimeouts(),
	}
}

// defaultTeam returns the values of a team's subtree before it is decoded.
func defaultTeam() Team {
	return Team{
		Targets:             Targets{FirstToken: 1600 * time.Millisecond, TokenGap: 38 * time.Millisecond},
		WastedPrefillWeight: 0.5,
		Share:               1,
		Limits:              Limits{BodyBytes: 4e6},
	}
}

// defaultCallerKind returns the kind of a caller if neither its team nor the
// fleet declares the caller's kind or DefaultKind.
func defaultCallerKind() CallerKind {
	return CallerKind{Kind: DefaultKind, Patience: 10 * time.Second, Priority: 5}
}

// DefaultKind names the caller kind that stands in for undeclared ones. A team
// or the fleet may declare it to override the built-in default.
const DefaultKind = "default"

// SetDefaults implements strictyaml.Defaulter.
func (s *Service) SetDefaults() { s.Timeout = DefaultServiceTimeout }

// SetDefaults implements strictyaml.Defaulter.
func (m *Model) SetDefaults() { m.LoadTime = DefaultLoadTime }

// SetDefaults implements strictyaml.Defaulter.
func (c *CallerKind) SetDefaults() { c.Priority = defaultCallerKind().Priority }
