package outcome

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Key is the keyed hash of team and caller's key: the name of a record.
type Key [16]byte

// Claim asks to run a request.
type Claim struct {
	Key       Key
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
	VerdictUnknown          // another attempt may have run; its owner is gone
	VerdictNotRun           // a tombstone is decided, or no replica was asked to accept
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
type Ledger interface {
	// Claim decides a record for the attempt before the first byte goes to an
	// endpoint. An error means that no replica was asked to accept the intent:
	// the request is truly not run. When a majority can't be reached after
	// that, the verdict is VerdictUnknown or VerdictNotRun, as decided.
	Claim(ctx context.Context, c Claim) (Verdict, Record, error)
	// Finish records the end of a decided attempt at a majority; it goes on in
	// the background after ctx ends.
	Finish(ctx context.Context, c Claim, outcome pb.OutcomeKind, statusCode int) error
	// Lookup reads a key through a majority.
	Lookup(ctx context.Context, key Key, permitted fleet.ZoneSet) (Verdict, Record, error)
	// Forbid decides a tombstone unless an intent was decided before.
	Forbid(ctx context.Context, c Claim) (Verdict, Record, error)
}
