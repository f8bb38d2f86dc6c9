package dispatch

import (
	"slices"

	"github.com/gravitational/trace"
)

// Mechanism names a decision under load that can be switched off, so that what
// it is worth can be measured.
type Mechanism string

// The mechanisms. Each is on unless the settings switch it off.
const (
	// MemoryFirst sets memory aside where a request will run before its prompt
	// is read. Off: the prompt is read first.
	MemoryFirst Mechanism = "memory-first"
	// EndAtTarget ends a request's wait for memory once its target is out of
	// reach. Off: it waits as long as its caller does.
	EndAtTarget Mechanism = "end-at-target"
	// OwnReading has prompts read where they run when the readers are too busy.
	// Off: they wait for a reader.
	OwnReading Mechanism = "own-reading"
	// ReturnedReadOwn has the prompt of a stream whose caller comes back after
	// some events read where it goes on. Off: it goes to a reader like any other.
	ReturnedReadOwn Mechanism = "returned-read-own"
	// SeenWaits takes the waits of earlier prompts at a reader into its cost. Off:
	// only this entry's own prompts and the told load count.
	SeenWaits Mechanism = "seen-waits"
	// Ranks tells engines how urgent a request is. Off: all are alike.
	Ranks Mechanism = "ranks"
	// PassOver leaves endpoints alone for a while that can't be reached. Off:
	// only the share of their failures counts against them.
	PassOver Mechanism = "pass-over"
	// Staging changes which endpoints read and which generate. Off: they stay as
	// they registered.
	Staging Mechanism = "staging"
	// Allotment has the home of a service say where a model request goes. Off:
	// each entry asks endpoints by what it knows itself.
	Allotment Mechanism = "allotment"
	// AwaitWord has requests with a key wait, at an entry that has just started, until
	// it knows that its configuration is the newest. Off: they are told to come again.
	AwaitWord Mechanism = "await-word"
	// QuotaReturn has callers whose team has spent its quota come back within their
	// target. Off: like those for whom there was no room.
	QuotaReturn Mechanism = "quota-return"
	// KeepLimits keeps the limits that endpoints name, over all entries. Off: they are
	// sent what comes.
	KeepLimits Mechanism = "keep-limits"
	// KeepRest sends nothing to an endpoint that asked this entry for rest. Off: it is
	// chosen like any other.
	KeepRest Mechanism = "keep-rest"
	// AvoidLeaving sends nothing to an endpoint whose answers say that it leaves. Off: it
	// is chosen until it is no longer listed.
	AvoidLeaving Mechanism = "avoid-leaving"
	// Quarantine refuses requests that crash the endpoints that run them, at all entries.
	// Off: they are sent like any other.
	Quarantine Mechanism = "quarantine"
	// QuotaReserve takes small requests of a team that has spent its quota from a
	// reserve. Off: they are turned away like large ones.
	QuotaReserve Mechanism = "quota-reserve"
)

var mechanisms = []Mechanism{
	MemoryFirst, EndAtTarget, OwnReading, ReturnedReadOwn, SeenWaits, Ranks, PassOver, Staging, Allotment,
	AwaitWord, QuotaReturn, QuotaReserve, KeepLimits, KeepRest, AvoidLeaving, Quarantine,
}

// Policy tells which mechanisms work. The zero Policy has all of them on. It is
// immutable.
type Policy struct{ off []Mechanism }

// Without gives the Policy without the mechanisms named.
func Without(names ...Mechanism) (Policy, error) {
	for _, name := range names {
		if !slices.Contains(mechanisms, name) {
			return Policy{}, trace.BadParameter("there is no mechanism %q; there are %q", name, mechanisms)
		}
	}
	return Policy{off: slices.Clone(names)}, nil
}

// Has tells whether a mechanism is on.
func (p Policy) Has(m Mechanism) bool { return !slices.Contains(p.off, m) }
