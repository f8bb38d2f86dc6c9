package settings

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Fleet is the fleet subtree: settings that all teams share.
type Fleet struct {
	Zones        []Zone         `yaml:"availability_zones"` // at least one
	Links        []Link         `yaml:"links"`              // KV transfer links between zones
	Models       []Model        `yaml:"models"`
	Services     []Service      `yaml:"services"` // plain services
	EndpointKeys []keyhash.Hash `yaml:"endpoint_key_hashes"`
	Operators    []Operator     `yaml:"operators"`
	WeightStore  WeightStore    `yaml:"weight_store"`
	Decisions    Decisions      `yaml:"decisions"`
	Provision    Provision      `yaml:"provision"`
	Timeouts     Timeouts       `yaml:"timeouts"`
	Callers      []CallerKind   `yaml:"caller_kinds"` // defaults for teams
}

// Zone declares an availability zone.
type Zone struct {
	Name   fleet.AvailabilityZone `yaml:"name"`   // no "+", no "/"
	Region string                 `yaml:"region"` // required
}

// Link is the KV transfer path between two zones, or within one.
type Link struct {
	From  fleet.AvailabilityZone `yaml:"from"`
	To    fleet.AvailabilityZone `yaml:"to"`
	Rate  ByteRate               `yaml:"rate"`  // e.g. "10GB/s"
	Delay time.Duration          `yaml:"delay"` // one way
}

// ByteRate is bytes a second; in YAML "500MB/s" or "10GB/s" (powers of 1000).
type ByteRate int64

// ByteSize is bytes; in YAML "64KB", "128MB" (powers of 1000).
type ByteSize int64

// Model declares a model that engines may load.
type Model struct {
	Name            string        `yaml:"name"`
	Versions        []string      `yaml:"versions"` // newest first; the first is the default
	Adapters        []string      `yaml:"adapters"`
	KVBytesPerToken ByteSize      `yaml:"kv_bytes_per_token"`
	MaxTokens       int           `yaml:"max_tokens"` // prompt and output together
	LoadTime        time.Duration `yaml:"load_time"`  // maximum duration of a load order, default 10m
	WeightBytes     ByteSize      `yaml:"weight_bytes"`
}

// Service declares a plain service and which of its calls may be repeated.
type Service struct {
	Name    string         `yaml:"name"`
	Timeout time.Duration  `yaml:"timeout"` // maximum duration of a call, default 30s
	Routes  []ServiceRoute `yaml:"routes"`  // first match wins; without a match only GET and HEAD are idempotent
}

// ServiceRoute declares whether calls of a method below a path are idempotent.
type ServiceRoute struct {
	Method     string `yaml:"method"` // "*" for any
	Prefix     string `yaml:"prefix"` // path below the service, begins with "/"
	Idempotent bool   `yaml:"idempotent"`
}

// Operator may change the subtrees that match Subtrees ("*", "fleet",
// "teams/*" or a full name).
type Operator struct {
	Name     string       `yaml:"name"`
	KeyHash  keyhash.Hash `yaml:"key_hash"`
	Subtrees []string     `yaml:"subtrees"`
}

// WeightStore limits model loads across the fleet.
type WeightStore struct {
	Rate            ByteRate `yaml:"rate"`             // shared by all loads
	ConcurrentLoads int      `yaml:"concurrent_loads"` // default 2
}

// Decisions names the policy of each decision; see package schedule for the
// names.
type Decisions struct {
	Prefill string `yaml:"prefill"` // endpoint choice for prefill, default "sampled-wait"
	Decode  string `yaml:"decode"`  // endpoint choice for decode, default "two-choices"
	Start   string `yaml:"start"`   // when a prefill may start, default "predicted-room"
	Plain   string `yaml:"plain"`   // endpoint choice for plain services, default "two-choices"
}

// Timeouts are the fleet's time limits. docs/DESIGN.md lists the relations
// between them, which checker.timeouts enforces.
type Timeouts struct {
	InstanceLease     time.Duration `yaml:"instance_lease"`     // default 2s
	SettingsLease     time.Duration `yaml:"settings_lease"`     // default 3s: an entry whose settings aren't confirmed for this long stops
	EndpointHeartbeat time.Duration `yaml:"endpoint_heartbeat"` // default 300ms
	EndpointLease     time.Duration `yaml:"endpoint_lease"`     // default 1500ms
	GrantLife         time.Duration `yaml:"grant_life"`         // default 2s unless confirmed by the endpoint's held list
	AddressKeep       time.Duration `yaml:"address_keep"`       // default 5s: how long callers may cache addresses
	RecordLife        time.Duration `yaml:"record_life"`        // default 10m: how long outcome records are kept
	KVLife            time.Duration `yaml:"kv_life"`            // default 800ms: how long a prefill's result is kept
	Transfer          time.Duration `yaml:"transfer"`           // default 600ms: a stalled transfer is then abandoned
	QuarantineLife    time.Duration `yaml:"quarantine_life"`    // default 1h
}

// CallerKind declares how long one kind of caller waits, and its priority.
type CallerKind struct {
	Kind     string        `yaml:"kind"`     // e.g. "sorter"
	Patience time.Duration `yaml:"patience"` // time from arrival to the first token
	Priority int           `yaml:"priority"` // 0 to 9, higher first; default 5
}
