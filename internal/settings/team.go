package settings

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// Team is one team's subtree.
type Team struct {
	Name                fleet.Team               `yaml:"team"`
	KeyHashes           []keyhash.Hash           `yaml:"key_hashes"`      // at least one
	PermittedZones      []fleet.AvailabilityZone `yaml:"permitted_zones"` // at least one
	Models              []string                 `yaml:"models"`          // "model" or "model@version"
	Services            []string                 `yaml:"services"`        // plain services
	Targets             Targets                  `yaml:"targets"`
	Callers             []CallerKind             `yaml:"caller_kinds"`          // override the fleet's kinds
	WastedPrefillWeight float64                  `yaml:"wasted_prefill_weight"` // 0 to 1: 1 considers only waste, 0 only goodput; default 0.5
	Share               float64                  `yaml:"share"`                 // weight in fair sharing, default 1
	Limits              Limits                   `yaml:"limits"`
}

// Permitted returns the set of zones that the team's data may touch.
func (t Team) Permitted() fleet.ZoneSet { return fleet.NewZoneSet(t.PermittedZones...) }

// Targets are a team's latency targets.
type Targets struct {
	FirstToken time.Duration `yaml:"first_token"` // default 1600ms
	TokenGap   time.Duration `yaml:"token_gap"`   // default 38ms
}

// Limits are the limits of one team; 0 means unlimited, except for BodyBytes, which
// must be at least 1.
type Limits struct {
	Concurrent        int      `yaml:"concurrent"`
	RequestsPerSecond float64  `yaml:"requests_per_second"`
	PromptTokens      int      `yaml:"prompt_tokens"`
	BodyBytes         ByteSize `yaml:"body_bytes"` // default 4MB
}
