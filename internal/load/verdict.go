package load

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Verdict is what became of one request in its caller's eyes.
type Verdict string

// The verdicts. Only VerdictGood counts as goodput.
const (
	VerdictGood      Verdict = "good"      // whole, correct, both targets met
	VerdictLate      Verdict = "late"      // whole and correct, a target missed
	VerdictRefused   Verdict = "refused"   // an error with outcome not-run
	VerdictFailed    Verdict = "failed"    // an error with outcome failed or completed
	VerdictUnknown   Verdict = "unknown"   // an error with outcome unknown
	VerdictCut       Verdict = "cut"       // a stream that ended without its last event
	VerdictWrong     Verdict = "wrong"     // another text than asked for
	VerdictLost      Verdict = "lost"      // no answer after all repeats
	VerdictAbandoned Verdict = "abandoned" // no first token within the patience
	VerdictCancelled Verdict = "cancelled" // the caller went away by plan
	VerdictOverrun   Verdict = "overrun"   // never sent: too many in flight here
)

// answer is all that a caller saw of one request.
type answer struct {
	verdict    Verdict
	code       callerapi.Code
	outcome    callerapi.Outcome
	retryAfter time.Duration
	detail     string
	firstToken time.Duration // from the intended time
	whole      time.Duration // from the intended time
	tokens     int
	meanGap    time.Duration
	gaps       []time.Duration // between events that bring tokens
	repeats    int             // sent again
}
