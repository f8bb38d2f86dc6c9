package endpoint

import "time"

// Limits are the time bounds of homes and followers; settings.Timeouts gives
// them in a running fleet.
type Limits struct {
	SettingsLease time.Duration // an instance not confirmed for so long grants nothing
	EndpointLease time.Duration // silence after which an endpoint gets no grant
	Heartbeat     time.Duration // between an endpoint's heartbeats
	GrantLife     time.Duration // of a grant that no held list confirms
	KVLife        time.Duration // of an exported KV cache
	Transfer      time.Duration // longest KV transfer
}

// NewWorkBound is the longest time from an endpoint's last heartbeat, or from
// its leave, to the last moment at which any entry may begin work on it.
//
// The bound holds from every entry, also one that is cut off: work begins only
// on a grant; only the home gives grants; the home gives none later than
// EndpointLease (1.5 s) after the last heartbeat that reached it, and none at
// all after a leave. A grant says until when work may begin on it, and that is
// never later than NewWorkBound after that heartbeat, less newWorkMargin for
// clock rates. An entry that can't reach the home gets no grant and can't
// renew one, so what it holds runs out by the same time. A home that is cut
// off itself no longer hears the endpoint, or is no longer Current.
const NewWorkBound = 3 * time.Second

const newWorkMargin = 200 * time.Millisecond

// Bounds on memory.
const (
	maxEndpoints     = 4096 // at one home
	maxModels        = 64   // in one announcement
	maxHeld          = 4096 // in one heartbeat
	maxSlots         = 4096
	maxQueue         = 64 // grants waiting for one endpoint
	maxTeams         = 4096
	maxPrefixes      = 4096 // cache index of one endpoint
	maxDigestPrefix  = 32   // published
	maxPredictorKeys = 1024
	maxViews         = 64
	maxCrashNotes    = 4096
)

// DefaultLimits gives the settings' defaults.
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
// the endpoint before the hold counts as left behind. An exported KV cache is
// rightly there until its transfer has ended.
func (l Limits) releaseGrace() time.Duration {
	return l.KVLife + l.Transfer
}

// disownGrace is the age below which a hold isn't asked after.
func (l Limits) disownGrace() time.Duration { return l.GrantLife }
