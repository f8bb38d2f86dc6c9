package endpoint

import "time"

// Limits are the time limits of homes and followers. In a running fleet they
// come from settings.Timeouts.
type Limits struct {
	SettingsLease time.Duration // an instance not confirmed for so long grants nothing
	EndpointLease time.Duration // an endpoint silent for so long gets no grants
	Heartbeat     time.Duration // interval between an endpoint's heartbeats
	GrantLife     time.Duration // lifetime of a grant that no held list confirms
	KVLife        time.Duration // lifetime of an exported KV cache
	Transfer      time.Duration // maximum duration of a KV transfer
}

// NewWorkBound is the maximum time from an endpoint's last heartbeat, or from
// its leave, to the last moment at which any entry may start work on it.
//
// The bound holds for every entry, also one that is cut off: work starts only
// on a grant, and only the home issues grants. It issues none later than
// EndpointLease (1.5 s) after the last heartbeat that reached it, and none at
// all after a leave. A grant states until when work may start on it, and that
// is never later than NewWorkBound after that heartbeat, less clockRateMargin
// for differences in clock rate. An entry that can't reach the home can neither
// get nor renew a grant, so its grants expire by the same time. A home that is
// itself cut off no longer receives the endpoint's heartbeats, or is no longer
// Current.
const NewWorkBound = 3 * time.Second

const clockRateMargin = 200 * time.Millisecond

// Bounds on memory use.
const (
	maxEndpoints              = 4096 // per home
	maxModels                 = 64   // per announcement
	maxHeld                   = 4096 // per heartbeat
	maxSlots                  = 4096
	maxQueue                  = 64 // requests queued for one endpoint
	maxTeams                  = 4096
	maxPrefixes               = 4096 // in the cache index of one endpoint
	maxDigestPrefixes         = 32   // per digest
	maxPredictorKeys          = 1024
	maxViews                  = 64
	maxRememberedIncarnations = 4096
)

// DefaultLimits returns the defaults of the settings.
func DefaultLimits() Limits {
	return Limits{
		SettingsLease: 3 * time.Second,
		EndpointLease: 1500 * time.Millisecond,
		Heartbeat:     300 * time.Millisecond,
		GrantLife:     2 * time.Second,
		KVLife:        800 * time.Millisecond,
		Transfer:      600 * time.Millisecond,
	}
}

// releaseGrace is how long after its release an attempt may still be listed by
// the endpoint before the hold counts as orphaned. An exported KV cache is
// correctly listed until its transfer has ended.
func (l Limits) releaseGrace() time.Duration {
	return l.KVLife + l.Transfer
}

// minDisownAge is the age below which a hold's owner isn't asked about it.
func (l Limits) minDisownAge() time.Duration { return l.GrantLife }
