package outcome

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Key is the keyed hash of a team and a caller's key. It identifies a record.
type Key [16]byte

// Claim asks for the right to run a request. PermittedZones is the set of zones that
// the settings permit the team now; a claim under other zones fails. UniqueKey means
// that the key was made for this call alone, so that no earlier record of it can exist.
type Claim struct {
	Key            Key
	Team           fleet.Team
	UniqueKey      bool
	PermittedZones fleet.ZoneSet
	Attempt        fleet.AttemptID
	Endpoint       fleet.EndpointID
}

// Verdict is the ledger's answer about a key.
type Verdict int

// The verdicts.
const (
	VerdictUnset    Verdict = iota
	VerdictRun              // this attempt's intent is decided: it alone may run
	VerdictInFlight         // another attempt may be running
	VerdictRecorded         // another attempt has ended; Record holds its outcome
	VerdictUnknown          // an attempt may have run; its owner has left the view, or records were lost
	VerdictNotRun           // a tombstone is decided: no attempt ran or will
	VerdictMoved            // of one shard: a later zone class decides the key. A Ledger never returns it
)

// Record is what the ledger knows about a key.
type Record struct {
	Outcome    pb.OutcomeKind
	Owner      fleet.Owner
	Attempt    fleet.AttemptID
	Endpoint   fleet.EndpointID
	StatusCode int
	Age        time.Duration // since the last change
}

// Ledger decides and stores the outcomes of requests.
//
// If a team's permitted zones changed within the last two record lives, the records of
// the former zones are consulted too, at replicas in zones that are still permitted. If
// these are no majority, the verdict is VerdictUnknown for each key without UniqueKey:
// new keys can't be distinguished from repeats.
type Ledger interface {
	// Claim decides the key's record for the attempt, before the first byte is sent to
	// an endpoint. The attempt may run only on VerdictRun, and the caller checks right
	// before it sends that its process is still current. Each attempt ID is claimed
	// once.
	//
	// An error means that no replica was asked to accept the intent: this attempt never
	// runs. It says nothing about earlier attempts with the key: a caller that may have
	// sent the key before must not be told "not run". If an accept was sent and no
	// majority answers, the verdict is VerdictUnknown, and the record is settled in the
	// background, so that a later repeat learns what became of the attempt.
	Claim(ctx context.Context, c Claim) (Verdict, Record, error)
	// Finish records the outcome of a decided attempt at a majority. It continues in
	// the background after ctx ends.
	Finish(ctx context.Context, c Claim, outcome pb.OutcomeKind, statusCode int) error
	// Lookup reads a key from a majority. VerdictUnset means that nothing was decided
	// so far.
	Lookup(ctx context.Context, team fleet.Team, key Key, permitted fleet.ZoneSet) (Verdict, Record, error)
	// Forbid decides a tombstone unless an intent is already decided. After an error,
	// the state of the key is unknown.
	Forbid(ctx context.Context, c Claim) (Verdict, Record, error)
}
