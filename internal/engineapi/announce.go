package engineapi

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// Announcement is an endpoint's description of itself.
type Announcement struct {
	ID                  fleet.EndpointID       `json:"id"`
	Incarnation         fleet.Incarnation      `json:"incarnation"`
	Zone                fleet.AvailabilityZone `json:"availability_zone"`
	Address             string                 `json:"address"` // host:port
	Role                fleet.EndpointRole     `json:"role"`
	Models              []ModelRef             `json:"models,omitempty"`
	Service             string                 `json:"service,omitempty"` // plain only
	Slots               int                    `json:"slots"`             // concurrent requests held in memory
	KVBytes             int64                  `json:"kv_bytes"`          // memory for KV caches, bytes; 0: bounded by slots alone
	ChecksFencingTokens bool                   `json:"checks_tokens"`     // refuses orders with an old fencing token
	LastFencingToken    uint64                 `json:"last_token"`        // highest fencing token accepted
	// Software is the version of the engine's software. KV caches and streams stay within one
	// version; engines that name none count as one version.
	Software string `json:"software,omitempty"`
}

// ModelRef identifies a model version, with an adapter if any, that an engine has loaded.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// String returns "model@version" or "model@version/adapter".
func (m ModelRef) String() string {
	s := m.Model + "@" + m.Version
	if m.Adapter != "" {
		s += "/" + m.Adapter
	}
	return s
}

// Heartbeat renews an endpoint's lease at its home. Load is the engine's own
// report and may be out of date; see Load.AgeMs.
type Heartbeat struct {
	Announcement Announcement `json:"announcement"`
	Held         []Held       `json:"held"`
	Load         Load         `json:"load"`
	Sequence     uint64       `json:"sequence"`
	// LimitPerSecond limits the requests a second that all entries together send to the
	// endpoint, until a heartbeat without it; nil: no limit.
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

// Stage is the processing stage of a held request.
type Stage string

// The stages at an endpoint.
const (
	StagePrefill  Stage = "prefill"  // computing
	StageExported Stage = "exported" // KV cache kept for a transfer until it expires
	StageImported Stage = "imported" // KV cache held here, decode not started
	StageDecode   Stage = "decode"
	StageCall     Stage = "call" // plain service
)

// Load is the load that an engine reports about itself, with a delay.
type Load struct {
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	TokenTimeMs    float64 `json:"token_time_ms"`    // time between tokens at this batch size
	PrefillQueueMs float64 `json:"prefill_queue_ms"` // work queued before a new prefill
	AgeMs          int64   `json:"age_ms"`           // age of these values
}

// AnnounceReply tells an endpoint its home and the heartbeat interval.
type AnnounceReply struct {
	Home              string            `json:"home"` // host:port of the home's endpoint listener
	HeartbeatMs       int64             `json:"heartbeat_ms"`
	LeaseMs           int64             `json:"lease_ms"`
	Addresses         []string          `json:"addresses"` // host:port of other entries, for when the home is unreachable
	Cancel            []fleet.AttemptID `json:"cancel,omitempty"`
	LastCacheSequence uint64            `json:"cache_after"` // sequence of the last cache event received
}

// Leave announces that an endpoint accepts no new work.
type Leave struct {
	ID          fleet.EndpointID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// LeaveReply confirms that the endpoint gets no new grants from now on.
type LeaveReply struct {
	HomeConfirmed bool `json:"spread"` // the home itself has confirmed
}

// CacheEvents reports changes of an engine's prefix cache.
type CacheEvents struct {
	ID          fleet.EndpointID  `json:"id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// CacheEvent reports one prefix block that was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"` // see PrefixHashes
	Stored   bool   `json:"stored"` // false: evicted
}

// CacheEventsReply asks for a resync when sequence numbers are missing.
type CacheEventsReply struct {
	Resync bool `json:"resync"`
}

// CacheSnapshot is the whole prefix cache after the event with Sequence.
type CacheSnapshot struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Prefixes    []uint64          `json:"prefixes"`
}
