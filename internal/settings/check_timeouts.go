package settings

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Upper bounds from the users' requirements; no fleet may exceed them.
const (
	// MaxEndpointRemovalTime is how long an endpoint that leaves or stops
	// sending heartbeats may still be given work.
	MaxEndpointRemovalTime = 3 * time.Second
	// MaxChangeRolloutTime is how long an accepted change may take to be in force.
	MaxChangeRolloutTime = 6 * time.Second
	// MaxKVLife is how long any engine keeps a prefill's result unused.
	MaxKVLife = time.Second
)

// minHeartbeatsPerLease is how many heartbeats must fit into a lease: an
// endpoint may lose two in a row before it counts as dead.
const minHeartbeatsPerLease = 3

// timeoutsPath is the path of the timeouts in the fleet subtree.
const timeoutsPath = "timeouts"

// timeoutRange is a timeout with the range that its value must be in.
type timeoutRange struct {
	key       string
	value     time.Duration
	low, high time.Duration
}

func (t Timeouts) ranges() []timeoutRange {
	return []timeoutRange{
		{"instance_lease", t.InstanceLease, 200 * time.Millisecond, 10 * time.Second},
		{"settings_lease", t.SettingsLease, 300 * time.Millisecond, MaxChangeRolloutTime},
		{"endpoint_heartbeat", t.EndpointHeartbeat, 20 * time.Millisecond, time.Second},
		{"endpoint_lease", t.EndpointLease, 60 * time.Millisecond, MaxEndpointRemovalTime},
		{"grant_life", t.GrantLife, 100 * time.Millisecond, MaxEndpointRemovalTime},
		{"address_keep", t.AddressKeep, 500 * time.Millisecond, 5 * time.Minute},
		{"record_life", t.RecordLife, 10 * time.Second, 24 * time.Hour},
		{"kv_life", t.KVLife, 20 * time.Millisecond, MaxKVLife},
		{"transfer", t.Transfer, 10 * time.Millisecond, MaxKVLife},
		{"quarantine_life", t.QuarantineLife, 10 * time.Second, 30 * 24 * time.Hour},
	}
}

func (c checker) timeouts(f *Fleet) {
	t := f.Timeouts
	for _, r := range t.ranges() {
		checkRange(c, strictyaml.Key(timeoutsPath, r.key), r.value, r.low, r.high)
	}
	// A single lost heartbeat must not end a lease: the endpoint's work would
	// be retried elsewhere while it is still running.
	c.relation("endpoint_lease", t.EndpointLease >= minHeartbeatsPerLease*t.EndpointHeartbeat,
		"endpoint_heartbeat * %d <= endpoint_lease (now %v * %d > %v)",
		minHeartbeatsPerLease, t.EndpointHeartbeat, minHeartbeatsPerLease, t.EndpointLease)
	// An endpoint that stops without notice is given new work until its lease
	// expires, counted from the heartbeat before last.
	c.relation("endpoint_lease", t.EndpointLease+t.EndpointHeartbeat <= MaxEndpointRemovalTime,
		"endpoint_lease + endpoint_heartbeat <= %v (now %v + %v)", MaxEndpointRemovalTime, t.EndpointLease, t.EndpointHeartbeat)
	// A disconnected instance must be removed from the view before its settings
	// lease expires, or others would route to it while it refuses all requests.
	c.relation("settings_lease", t.InstanceLease < t.SettingsLease,
		"instance_lease < settings_lease (now %v, %v)", t.InstanceLease, t.SettingsLease)
	// A grant that expires within a lease would be granted again while the first
	// holder's work still runs, before the endpoint's held list could confirm it.
	c.relation("grant_life", t.GrantLife >= t.EndpointLease,
		"grant_life >= endpoint_lease (now %v, %v)", t.GrantLife, t.EndpointLease)
	// A transfer that takes longer than the KV cache lives moves unusable data.
	c.relation("transfer", t.Transfer <= t.KVLife,
		"transfer <= kv_life (now %v, %v)", t.Transfer, t.KVLife)
	// A quarantine that is shorter than a record's life would admit the request
	// that crashed endpoints again while its repeats are still on record.
	c.relation("quarantine_life", t.QuarantineLife >= t.RecordLife,
		"quarantine_life >= record_life (now %v, %v)", t.QuarantineLife, t.RecordLife)
	c.recordOutlivesCalls(f)
}

// recordOutlivesCalls checks that an outcome record is kept longer than any call
// takes: after an earlier deletion a repeat would find no record and run
// concurrently with the first call.
func (c checker) recordOutlivesCalls(f *Fleet) {
	life := f.Timeouts.RecordLife
	for n, service := range f.Services {
		path := strictyaml.Key(strictyaml.Index("services", n), "timeout")
		if service.Timeout >= life {
			c.fault(path, "keep it under timeouts.record_life", "timeout %v is not under record_life %v", service.Timeout, life)
		}
	}
	for n, kind := range f.Callers {
		path := strictyaml.Key(strictyaml.Index("caller_kinds", n), "patience")
		if kind.Patience >= life {
			c.fault(path, "keep it under timeouts.record_life", "patience %v is not under record_life %v", kind.Patience, life)
		}
	}
}

// relation reports a fault at a timeout if a rule between timeouts doesn't hold.
func (c checker) relation(key string, holds bool, rule string, args ...any) {
	if !holds {
		c.fault(strictyaml.Key(timeoutsPath, key), "keep "+fmt.Sprintf(rule, args...), "doesn't fit the other timeouts")
	}
}
