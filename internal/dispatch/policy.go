package dispatch

import (
	"slices"

	"github.com/gravitational/trace"
)

// Mechanism names a rule for decisions under load that can be switched off to
// measure its effect.
type Mechanism string

// The mechanisms. Each is on unless the settings switch it off.
const (
	// ReserveMemoryFirst reserves memory at the decode endpoint before the prompt is
	// prefilled. Off: prefill runs first.
	ReserveMemoryFirst Mechanism = "memory-first"
	// EndWaitAtTarget ends a request's wait for memory once its target can no longer
	// be met. Off: it waits as long as its caller does.
	EndWaitAtTarget Mechanism = "end-at-target"
	// AllowLocalPrefill runs prefill on the decode endpoint (local prefill) if the prefill
	// endpoints are too busy. Off: prompts wait for a prefill endpoint.
	AllowLocalPrefill Mechanism = "own-reading"
	// LocalPrefillOnResume runs local prefill for a stream that its caller resumes after
	// some events. Off: its prompt goes to a prefill endpoint like any other.
	LocalPrefillOnResume Mechanism = "returned-read-own"
	// ObservedWaits includes the observed waits of earlier prompts at an endpoint in its
	// cost. Off: only this entry's own prompts and the reported load count.
	ObservedWaits Mechanism = "seen-waits"
	// PoolLoads estimates the load of an endpoint without a recent report by the mean load of
	// its pool. Off: it counts as idle.
	PoolLoads Mechanism = "pool-loads"
	// RefuseOverload refuses a part of the calls to a plain service whose endpoints are too
	// loaded to answer in time. Off: all are sent.
	RefuseOverload Mechanism = "refuse-overload"
	// EnginePriorities sends the priority of each request to the engine. Off: all are equal.
	EnginePriorities Mechanism = "ranks"
	// Ejection ejects unreachable endpoints for a while. Off: only their failure
	// share counts against them.
	Ejection Mechanism = "pass-over"
	// StageChanges changes the stage of endpoints between prefill and decode. Off: they
	// keep the stage with which they registered.
	StageChanges Mechanism = "staging"
	// HomeReservation has the home of a service choose the endpoint of a model request.
	// Off: each entry asks endpoints, chosen by its own statistics.
	HomeReservation Mechanism = "allotment"
	// AwaitLatestConfig holds requests with a key, at an entry that has just started, until the
	// entry knows that its configuration is the latest. Off: they are told to repeat.
	AwaitLatestConfig Mechanism = "await-word"
	// QuotaRepeatInTarget has callers whose team has spent its quota repeat the request within
	// its target. Off: as late as after a rejection for lack of capacity.
	QuotaRepeatInTarget Mechanism = "quota-return"
	// EnforceLimits enforces the rate limits that endpoints name, across all entries. Off:
	// their limits are ignored.
	EnforceLimits Mechanism = "keep-limits"
	// HonorCooldown sends nothing to an endpoint during a cooldown that it requested from this
	// entry. Off: it is chosen like any other.
	HonorCooldown Mechanism = "keep-rest"
	// AvoidLeaving sends nothing to an endpoint that announced on an answer that it is
	// leaving. Off: it is chosen until it is no longer listed.
	AvoidLeaving Mechanism = "avoid-leaving"
	// Quarantine refuses requests that crash the endpoints that run them, at all entries.
	// Off: they are sent like all others.
	Quarantine Mechanism = "quarantine"
	// SiblingRelay connects an entry that has lost its links to endpoints to them through a
	// sibling entry. Off: it uses its own links alone.
	SiblingRelay Mechanism = "sibling-relay"
	// QuotaReserve charges small requests of a team that has spent its quota to a
	// reserve. Off: they are rejected like large ones.
	QuotaReserve Mechanism = "quota-reserve"
)

var mechanisms = []Mechanism{
	ReserveMemoryFirst, EndWaitAtTarget, AllowLocalPrefill, LocalPrefillOnResume, ObservedWaits, EnginePriorities, Ejection, StageChanges, HomeReservation,
	AwaitLatestConfig, QuotaRepeatInTarget, QuotaReserve, EnforceLimits, HonorCooldown, AvoidLeaving, Quarantine, PoolLoads, RefuseOverload,
	SiblingRelay,
}

// Policy is the set of mechanisms that are switched off. The zero Policy has all
// mechanisms on. It is immutable.
type Policy struct{ disabled []Mechanism }

// Without returns a Policy with the given mechanisms switched off.
func Without(names ...Mechanism) (Policy, error) {
	for _, name := range names {
		if !slices.Contains(mechanisms, name) {
			return Policy{}, trace.BadParameter("there is no mechanism %q; there are %q", name, mechanisms)
		}
	}
	return Policy{disabled: slices.Clone(names)}, nil
}

// Has reports whether a mechanism is on.
func (p Policy) Has(m Mechanism) bool { return !slices.Contains(p.disabled, m) }
