package engineapi

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// Announcement is an endpoint's description of itself.
type Announcement struct {
	ID           fleet.EndpointID       `json:"id"`
	Incarnation  fleet.Incarnation      `json:"incarnation"`
	Zone         fleet.AvailabilityZone `json:"availability_zone"`
	Address      string                 `json:"address"` // host:port
	Role         fleet.EndpointRole     `json:"role"`
	Models       []ModelRef             `json:"models,omitempty"`
	Service      string                 `json:"service,omitempty"` // plain only
	Slots        int                    `json:"slots"`             // concurrent requests held in memory
	KVBytes      int64                  `json:"kv_bytes"`          // memory for KV caches, bytes; 0: bounded by slots alone
	ChecksTokens bool                   `json:"checks_tokens"`     // refuses orders with an old fencing token
	LastToken    uint64                 `json:"last_token"`        // highest fencing token taken
}

// ModelRef names what an engine has loaded.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// String gives "model@version" or "model@version/adapter".
func (m ModelRef) String() string {
	s := m.Model + "@" + m.Version
	if m.Adapter != "" {
		s += "/" + m.Adapter
	}
	return s
}

// Heartbeat renews an endpoint's lease at its home. Load is as the engine
// reports it, with its lag.
type Heartbeat struct {
	Announcement Announcement `json:"announcement"`
	Held         []Held       `json:"held"`
	Load         Load         `json:"load"`
	Sequence     uint64       `json:"sequence"`
	// LimitPerSecond is how many requests a second the endpoint takes from all entries
	// together, until a heartbeat names none; nil: as many as come.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
}

// Held is one request that occupies engine memory.
type Held struct {
	Attempt fleet.AttemptID `json:"attempt_id"`
	Owner   fleet.Owner     `json:"owner"`
	Stage   Stage           `json:"stage"`
	AgeMs   int64           `json:"age_ms"`
	KVBytes int64           `json:"kv_bytes"`
}

// Stage is where in its life a held request is.
type Stage string

// The stages at an endpoint.
const (
	StagePrefill  Stage = "prefill"  // computing
	StageExported Stage = "exported" // KV kept for a transfer, for its short life
	StageImported Stage = "imported" // KV here, decode not begun
	StageDecode   Stage = "decode"
	StageCall     Stage = "call" // plain service
)

// Load is an engine's own, lagging report.
type Load struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	TokenTimeMs    float64 `json:"token_time_ms"`    // time between tokens at this batch
	PrefillQueueMs float64 `json:"prefill_queue_ms"` // work ahead of a new prefill
	AgeMs          int64   `json:"age_ms"`           // how old the figures are
}

// AnnounceReply tells an endpoint where its home is and how often to beat.
type AnnounceReply struct {
	Home        string            `json:"home"` // host:port of the home's endpoint listener
	HeartbeatMs int64             `json:"heartbeat_ms"`
	LeaseMs     int64             `json:"lease_ms"`
	Addresses   []string          `json:"addresses"` // other entries, to use when the home is gone
	Cancel      []fleet.AttemptID `json:"cancel,omitempty"`
	CacheAfter  uint64            `json:"cache_after"` // last cache event sequence seen
}

// Leave says that an endpoint takes no new work.
type Leave struct {
	ID          fleet.EndpointID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// LeaveReply confirms that no new grant is given from now on.
type LeaveReply struct {
	Spread bool `json:"spread"` // the home itself has confirmed
}

// CacheEvents are numbered changes of an engine's prefix cache.
type CacheEvents struct {
	ID          fleet.EndpointID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent is one stored or evicted prefix block.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // see PrefixHashes
	Stored   bool   `json:"stored"` // false: evicted
}

// CacheEventsReply asks for a resync when a gap was found.
type CacheEventsReply struct {
	Resync bool `json:"resync"`
}

// CacheSnapshot is the whole prefix cache after a sequence.
type CacheSnapshot struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Prefixes    []uint64          `json:"prefixes"`
}
