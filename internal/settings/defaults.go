package settings

import "time"

// The defaults of a fleet subtree.
const (
	DefaultServiceTimeout  = 30 * time.Second
	DefaultConcurrentLoads = 2
	DefaultLoadTime        = 10 * time.Minute
)

// DefaultTimeouts are in force where a fleet subtree names none.
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

// DefaultDecisions are the policies of a fleet that names none.
func DefaultDecisions() Decisions {
	return Decisions{
		Prefill: "sampled-wait",
		Decode:  "two-choices",
		Start:   "predicted-room",
		Plain:   "two-choices",
	}
}

// defaultFleet is what a fleet subtree starts from.
func defaultFleet() Fleet {
	return Fleet{
		WeightStore: WeightStore{Rate: 1e9, ConcurrentLoads: DefaultConcurrentLoads},
		Decisions:   DefaultDecisions(),
		Provision:   DefaultProvision(),
		Timeouts:    DefaultTimeouts(),
	}
}

// defaultTeam is what a team's subtree starts from.
func defaultTeam() Team {
	return Team{
		Targets:             Targets{FirstToken: 1600 * time.Millisecond, TokenGap: 38 * time.Millisecond},
		WastedPrefillWeight: 0.5,
		Share:               1,
		Limits:              Limits{BodyBytes: 4e6},
	}
}

// defaultCallerKind holds for a caller whose kind neither its team nor the
// fleet declares.
func defaultCallerKind() CallerKind {
	return CallerKind{Kind: DefaultKind, Patience: 10 * time.Second, Priority: 5}
}

// DefaultKind names the caller kind that holds for each undeclared one. A team
// or the fleet may declare it too.
const DefaultKind = "default"

// SetDefaults implements strictyaml.Defaulter.
func (s *Service) SetDefaults() { s.Timeout = DefaultServiceTimeout }

// SetDefaults implements strictyaml.Defaulter.
func (m *Model) SetDefaults() { m.LoadTime = DefaultLoadTime }

// SetDefaults implements strictyaml.Defaulter.
func (c *CallerKind) SetDefaults() { c.Priority = defaultCallerKind().Priority }
