package load

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Verdict is the result of one request as its caller sees it.
type Verdict string

// The verdicts. Only VerdictGood counts as goodput.
const (
	VerdictGood      Verdict = "good"      // complete, correct, both targets met
	VerdictLate      Verdict = "late"      // complete and correct, a target missed
	VerdictRefused   Verdict = "refused"   // an error with outcome not-run
	VerdictFailed    Verdict = "failed"    // an error with outcome failed or completed
	VerdictUnknown   Verdict = "unknown"   // an error with outcome unknown
	VerdictCut       Verdict = "cut"       // a stream that ended without its last event
	VerdictWrong     Verdict = "wrong"     // an incorrect text
	VerdictLost      Verdict = "lost"      // no answer after all repeats
	VerdictAbandoned Verdict = "abandoned" // no first token within the patience
	VerdictCancelled Verdict = "cancelled" // the caller cancelled as planned
	VerdictOverrun   Verdict = "overrun"   // never sent: too many requests in flight in the generator
)

// requestResult is what a caller observed of one request.
type requestResult struct {
	verdict           Verdict
	code              callerapi.Code
	outcome           callerapi.Outcome
	retryAfter        time.Duration
	detail            string
	firstTokenLatency time.Duration // from the intended time
	totalLatency      time.Duration // from the intended time
	tokens            int
	meanGap           time.Duration
	gaps              []time.Duration // between events with tokens
	repeats           int             // how often the request was sent again
}
