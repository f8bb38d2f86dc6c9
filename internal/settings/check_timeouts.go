package settings

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Bounds that the users set and no fleet may loosen.
const (
	// MaxLeaving is how long a leaving or silent endpoint may still get work.
	MaxLeaving = 3 * time.Second
	// MaxInForce is how long an accepted change may take to be in force.
	MaxInForce = 6 * time.Second
	// MaxKVLife is how long any engine keeps a prefill's result unused.
	MaxKVLife = time.Second
)

// heartbeatsInLease is how many heartbeats fit into a lease: two may be lost
// one after the other before an endpoint counts as dead.
const heartbeatsInLease = 3

// timeoutsPath is where the timeouts stand in the fleet subtree.
const timeoutsPath = "timeouts"

// timeout is one named value with its range.
type timeout struct {
	key       string
	value     time.Duration
	low, high time.Duration
}

func (t Timeouts) ranges() []timeout {
	return []timeout{
		{"instance_lease", t.InstanceLease, 200 * time.Millisecond, 10 * time.Second},
		{"settings_lease", t.SettingsLease, 300 * time.Millisecond, MaxInForce},
		{"endpoint_heartbeat", t.EndpointHeartbeat, 20 * time.Millisecond, time.Second},
		{"endpoint_lease", t.EndpointLease, 60 * time.Millisecond, MaxLeaving},
		{"grant_life", t.GrantLife, 100 * time.Millisecond, MaxLeaving},
		{"address_keep", t.AddressKeep, 500 * time.Millisecond, 5 * time.Minute},
		{"record_life", t.RecordLife, 10 * time.Second, 24 * time.Hour},
		{"kv_life", t.KVLife, 20 * time.Millisecond, MaxKVLife},
		{"transfer", t.Transfer, 10 * time.Millisecond, MaxKVLife},
		{"quarantine_life", t.QuarantineLife, 10 * time.Second, 30 * 24 * time.Hour},
	}
}

func (c checker) timeouts(f *Fleet) {
	t := f.Timeouts
	for _, one := range t.ranges() {
		between(c, strictyaml.Key(timeoutsPath, one.key), one.value, one.low, one.high)
	}
	// A single lost heartbeat must not end a lease: the endpoint's work would
	// be retried elsewhere while it still runs.
	c.relation("endpoint_lease", t.EndpointLease >= heartbeatsInLease*t.EndpointHeartbeat,
		"endpoint_heartbeat * %d <= endpoint_lease (now %v * %d > %v)",
		heartbeatsInLease, t.EndpointHeartbeat, heartbeatsInLease, t.EndpointLease)
	// An endpoint that stops without a word gets new work until its lease has
	// run out, counted from the heartbeat before last.
	c.relation("endpoint_lease", t.EndpointLease+t.EndpointHeartbeat <= MaxLeaving,
		"endpoint_lease + endpoint_heartbeat <= %v (now %v + %v)", MaxLeaving, t.EndpointLease, t.EndpointHeartbeat)
	// An instance that is cut off must be out of the view before its settings
	// lapse, or others would route to it while it refuses all.
	c.relation("settings_lease", t.InstanceLease < t.SettingsLease,
		"instance_lease < settings_lease (now %v, %v)", t.InstanceLease, t.SettingsLease)
	// A grant that lapses within a lease would be given again while the first
	// holder's work still runs, before a held list could confirm it.
	c.relation("grant_life", t.GrantLife >= t.EndpointLease,
		"grant_life >= endpoint_lease (now %v, %v)", t.GrantLife, t.EndpointLease)
	// A transfer that outlives the KV cache moves bytes that no one can use.
	c.relation("transfer", t.Transfer <= t.KVLife,
		"transfer <= kv_life (now %v, %v)", t.Transfer, t.KVLife)
	// A quarantine shorter than a record's life would let the request that
	// crashed endpoints in again while its repeats are still on record.
	c.relation("quarantine_life", t.QuarantineLife >= t.RecordLife,
		"quarantine_life >= record_life (now %v, %v)", t.QuarantineLife, t.RecordLife)
	c.recordOutlives(f)
}

// recordOutlives checks that an outcome record outlives the call it guards:
// when it is dropped earlier, a repeat finds no record and runs a second time
// beside the first.
func (c checker) recordOutlives(f *Fleet) {
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

func (c checker) relation(key string, holds bool, rule string, args ...any) {
	if !holds {
		c.fault(strictyaml.Key(timeoutsPath, key), "keep "+fmt.Sprintf(rule, args...), "doesn't fit the other timeouts")
	}
}
