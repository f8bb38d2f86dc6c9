package outcome

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Key is the keyed hash of team and caller's key: the name of a record.
type Key [16]byte

// Claim asks to run a request. Permitted is what the settings permit the team
// now: a claim under other zones gives an error. Fresh tells that the key was
// made for this call alone, so that no earlier record of it can exist.
type Claim struct {
	Key       Key
	Team      fleet.Team
	Fresh     bool
	Permitted fleet.ZoneSet
	Attempt   fleet.AttemptID
	Endpoint  fleet.EndpointID
}

// Verdict is the answer to a claim.
type Verdict int

// The verdicts.
const (
	VerdictUnset    Verdict = iota
	VerdictRun              // this attempt's intent is decided: it alone may run
	VerdictInFlight         // another attempt may be running
	VerdictRecorded         // another attempt has ended; Record has the outcome
	VerdictUnknown          // an attempt may have run; its owner is gone, or records were lost
	VerdictNotRun           // a tombstone is decided: no attempt ran or will
	VerdictMoved            // of one shard: a later zone class decides. No Ledger gives it
)

// Record is what the ledger knows of a key.
type Record struct {
	Outcome    pb.OutcomeKind
	Owner      fleet.Owner
	Attempt    fleet.AttemptID
	Endpoint   fleet.EndpointID
	StatusCode int
	Age        time.Duration
}

// Ledger is how requests use outcome records.
//
// When a team's permitted zones have changed within two record lives, the
// records of before are consulted too, at replicas in zones that are still
// permitted. Where these are no majority, the verdict is VerdictUnknown for
// each key that isn't Fresh: new keys can't be told from repeats.
type Ledger interface {
	// Claim decides a record for the attempt before the first byte goes to an
	// endpoint. Only VerdictRun lets the attempt run, and the caller checks
	// right before it sends that its process is still current. An attempt ID
	// is claimed once.
	//
	// An error means that no replica was asked to accept the intent: this
	// attempt never runs. It says nothing of earlier attempts with the key: a
	// caller that may have sent the key before must not be told "not run".
	// When no majority answers after that, the verdict is VerdictUnknown; the
	// record is then settled in the background, so that a later repeat is told
	// what became of it.
	Claim(ctx context.Context, c Claim) (Verdict, Record, error)
	// Finish records the end of a decided attempt at a majority; it goes on in
	// the background after ctx ends.
	Finish(ctx context.Context, c Claim, outcome pb.OutcomeKind, statusCode int) error
	// Lookup reads a key through a majority. VerdictUnset means that nothing
	// was decided so far.
	Lookup(ctx context.Context, team fleet.Team, key Key, permitted fleet.ZoneSet) (Verdict, Record, error)
	// Forbid decides a tombstone unless an intent was decided before. After an
	// error nothing is known.
	Forbid(ctx context.Context, c Claim) (Verdict, Record, error)
}
