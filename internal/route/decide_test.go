package route

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func TestCheckChunk(t *testing.T) {
	good := engineapi.Chunk{Attempt: "a", Incarnation: 7, Offset: 5, Tokens: 2}
	cases := map[string]struct {
		alter func(c *engineapi.Chunk)
		want  chunkVerdict
	}{
		"next":              {func(*engineapi.Chunk) {}, chunkNext},
		"empty end":         {func(c *engineapi.Chunk) { c.Tokens, c.Finish = 0, engineapi.FinishStop }, chunkNext},
		"repeated":          {func(c *engineapi.Chunk) { c.Offset = 3 }, chunkRepeated},
		"repeated end":      {func(c *engineapi.Chunk) { c.Offset, c.Finish = 3, engineapi.FinishStop }, chunkGap},
		"half repeated":     {func(c *engineapi.Chunk) { c.Offset = 4 }, chunkGap},
		"missing":           {func(c *engineapi.Chunk) { c.Offset = 6 }, chunkGap},
		"other attempt":     {func(c *engineapi.Chunk) { c.Attempt = "b" }, chunkOtherAttempt},
		"other incarnation": {func(c *engineapi.Chunk) { c.Incarnation = 8 }, chunkOtherAttempt},
		"negative":          {func(c *engineapi.Chunk) { c.Tokens = -1 }, chunkOtherAttempt},
	}
	for name, tc := range cases {
		c := good
		tc.alter(&c)
		assert.Equal(t, checkChunk(c, "a", 7, 5), tc.want, name)
	}
}

func TestAttemptFailureFromError(t *testing.T) {
	target := engine.Target{ID: "d1"}
	cases := map[string]struct {
		err     error
		want    cause
		crashed bool
	}{
		"broken":      {&engine.Error{Target: target, Sent: true, Err: engine.ErrTruncated}, causeConnectionBroken, true},
		"reset":       {&engine.Error{Target: target, Sent: true, Err: io.ErrUnexpectedEOF}, causeConnectionBroken, true},
		"never sent":  {&engine.Error{Target: target, Err: io.EOF}, causeRefused, false},
		"crossed":     {&engine.Error{Target: target, Sent: true, Err: engine.ErrWrongAttempt}, causeRefused, false},
		"gap":         {&engine.Error{Target: target, Sent: true, Err: engine.ErrMissingTokens}, causeRefused, false},
		"oversized":   {&engine.Error{Target: target, Sent: true, Err: engine.ErrOversized}, causeRefused, false},
		"malformed":   {&engine.Error{Target: target, Sent: true, Err: engine.ErrMalformed}, causeRefused, false},
		"restarted":   {&engine.Error{Target: target, Sent: true, Err: engine.ErrWrongIncarnation}, causeConnectionBroken, true},
		"old chunk":   {&engine.Error{Target: target, Sent: true, Err: engine.ErrEarlierIncarnation}, causeRefused, false},
		"silent":      {&engine.Error{Target: target, Sent: true, Err: engine.ErrIdleTimeout}, causeStalled, false},
		"stale":       {&engine.Error{Target: target, Sent: true, Code: engineapi.CodeStale}, causeRefused, false},
		"full":        {&engine.Error{Target: target, Sent: true, Code: engineapi.CodeFull}, causeNoSlot, false},
		"gone":        {&engine.Error{Target: target, Sent: true, Code: engineapi.CodeGone}, causeKVExpired, false},
		"transfer":    {&engine.Error{Target: target, Sent: true, Code: engineapi.CodeTransfer}, causeStalled, false},
		"of no known": {errors.New("odd"), causeConnectionBroken, true},
	}
	for name, tc := range cases {
		failed := attemptFailureFromError(t.Context(), t.Context(), tc.err)
		assert.Equal(t, failed.cause, tc.want, name)
		assert.Equal(t, failed.endpointMayHaveCrashed(), tc.crashed, name)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	broken := &engine.Error{Target: target, Sent: true, Err: context.Canceled}
	assert.Equal(t, attemptFailureFromError(cancelled, cancelled, broken).cause, causeCallerDisconnected)
	assert.Equal(t, attemptFailureFromError(t.Context(), cancelled, broken).cause, causeStalled)
}

func TestDecideRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	base := retryInput{attemptFailure: &attemptFailure{cause: causeConnectionBroken}, attempts: 1, maxAttempts: 4, now: now, deadline: now.Add(time.Second)}
	cases := map[string]struct {
		change  func(in *retryInput)
		again   bool
		code    callerapi.Code
		outcome callerapi.Outcome
	}{
		"again":            {func(*retryInput) {}, true, "", ""},
		"out of attempts":  {func(in *retryInput) { in.attempts = 4 }, false, callerapi.CodeEngineFailed, callerapi.OutcomeNotRun},
		"ran and gave up":  {func(in *retryInput) { in.attempts, in.maybeSent = 4, true }, false, callerapi.CodeEngineFailed, callerapi.OutcomeFailed},
		"out of patience":  {func(in *retryInput) { in.deadline = now }, false, callerapi.CodeEngineFailed, callerapi.OutcomeNotRun},
		"full":             {func(in *retryInput) { in.attemptFailure = &attemptFailure{cause: causeNoSlot} }, false, callerapi.CodeOverloaded, callerapi.OutcomeNotRun},
		"full, wasted":     {func(in *retryInput) { in.attemptFailure, in.maybeSent = &attemptFailure{cause: causeNoSlot}, true }, false, callerapi.CodeOverloaded, callerapi.OutcomeFailed},
		"no endpoint":      {func(in *retryInput) { in.attemptFailure = &attemptFailure{cause: causeNoEndpoint} }, false, callerapi.CodeNoPermittedZone, callerapi.OutcomeNotRun},
		"caller gone":      {func(in *retryInput) { in.attemptFailure = &attemptFailure{cause: causeCallerDisconnected} }, false, callerapi.CodeDeadline, callerapi.OutcomeNotRun},
		"forbidden, again": {func(in *retryInput) { in.attemptFailure = &attemptFailure{cause: causeForbidden} }, true, "", ""},
		"quarantined": {func(in *retryInput) {
			in.attemptFailure = finalAttemptFailure(notRun(callerapi.CodeQuarantined, "", 0))
		},
			false, callerapi.CodeQuarantined, callerapi.OutcomeNotRun},
		"quarantined after a run": {func(in *retryInput) {
			in.attemptFailure, in.maybeSent = finalAttemptFailure(notRun(callerapi.CodeQuarantined, "", 0)), true
		},
			false, callerapi.CodeQuarantined, callerapi.OutcomeFailed},
	}
	for name, tc := range cases {
		in := base
		tc.change(&in)
		d := decideRetry(in)
		assert.Equal(t, d.retry, tc.again, name)
		if !tc.again {
			assert.Equal(t, d.failure.Code, tc.code, name)
			assert.Equal(t, d.failure.Outcome, tc.outcome, name)
		}
	}
}

func TestDecideClaim(t *testing.T) {
	f := fleet.Fingerprint{1, 2, 3, 4}
	mine, theirs := newClaimAttempt(f), newClaimAttempt(f)
	base := claimInput{ownAttempt: mine, fingerprint: f, waited: time.Second, untilSwept: time.Second, patience: 10 * time.Second}
	record := outcome.Record{Attempt: theirs, Age: time.Minute}
	cases := map[string]struct {
		change func(in *claimInput)
		want   claimDecision
		code   callerapi.Code
	}{
		"run":       {func(in *claimInput) { in.verdict = outcome.VerdictRun }, claimDecision{run: true}, ""},
		"in flight": {func(in *claimInput) { in.verdict, in.record = outcome.VerdictInFlight, record }, claimDecision{}, callerapi.CodeInFlight},
		"ended":     {func(in *claimInput) { in.verdict, in.record = outcome.VerdictRecorded, record }, claimDecision{nextGeneration: true, mayHaveRun: true}, ""},
		"refused before": {func(in *claimInput) {
			in.verdict, in.record = outcome.VerdictRecorded, record
			in.record.Outcome = pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
		}, claimDecision{nextGeneration: true}, ""},
		"ended meanwhile": {func(in *claimInput) {
			in.verdict, in.record = outcome.VerdictRecorded, record
			in.record.Age = time.Second
		}, claimDecision{}, callerapi.CodeInFlight},
		"other body": {func(in *claimInput) {
			in.verdict, in.record = outcome.VerdictInFlight, record
			in.fingerprint = fleet.Fingerprint{9}
		}, claimDecision{}, callerapi.CodeKeyReused},
		"tombstone":     {func(in *claimInput) { in.verdict = outcome.VerdictNotRun }, claimDecision{}, callerapi.CodeRecorded},
		"owner is gone": {func(in *claimInput) { in.verdict, in.record = outcome.VerdictUnknown, record }, claimDecision{nextGeneration: true, mayHaveRun: true, wait: time.Second}, ""},
		"no patience": {func(in *claimInput) {
			in.verdict, in.record, in.patience = outcome.VerdictUnknown, record, time.Second
		}, claimDecision{}, callerapi.CodeUnknown},
		"no majority": {func(in *claimInput) { in.verdict = outcome.VerdictUnknown }, claimDecision{}, callerapi.CodeUnknown},
	}
	for name, tc := range cases {
		in := base
		tc.change(&in)
		got := decideClaim(in)
		if tc.code != "" {
			assert.Assert(t, got.failure != nil, name)
			assert.Equal(t, got.failure.Code, tc.code, name)
			continue
		}
		assert.Assert(t, got == tc.want, "%s: %+v", name, got)
	}
}

func TestIdempotentCall(t *testing.T) {
	s := settings.Service{Routes: []settings.ServiceRoute{
		{Method: "POST", Prefix: "/slips/draft", Idempotent: true},
		{Method: "*", Prefix: "/slips"},
	}}
	cases := []struct {
		method, path string
		want         bool
	}{
		{"POST", "/slips/draft/7", true},
		{"POST", "/slips/drafted", false},
		{"GET", "/slips/7", false},
		{"GET", "/slipshod", true},
		{"POST", "/slipshod", false},
		{"HEAD", "/", true},
	}
	for _, tc := range cases {
		assert.Equal(t, idempotentCall(s, tc.method, tc.path), tc.want, tc.method+tc.path)
	}
}

// The parts of a record key must be delimited: team "a" with key "bc" has another record
// than team "ab" with key "c".
func TestHashesKeepPartsApart(t *testing.T) {
	h := hasher{secret: []byte("s")}
	assert.Assert(t, h.recordKey("a", "bc", 0) != h.recordKey("ab", "c", 0))
	assert.Assert(t, h.recordKey("a", "b", 0) != h.recordKey("a", "b", 1))
	assert.Assert(t, h.recordKey("a", "b", 0) != hasher{secret: []byte("t")}.recordKey("a", "b", 0))
}

// A caller names no kind, or one that isn't declared. The settings of the kind "default"
// must apply.
func TestUndeclaredKindTakesDefault(t *testing.T) {
	tree := &settings.Tree{
		Fleet: settings.Fleet{
			Models:  []settings.Model{{Name: "fibre", Versions: []string{"1"}}},
			Callers: []settings.CallerKind{{Kind: settings.DefaultKind, Patience: 7 * time.Second, Priority: 3}},
		},
		Teams: map[fleet.Team]settings.Team{"a": {Name: "a", Models: []string{"fibre"}}},
	}
	for _, kind := range []string{"", "sorter"} {
		c, failure := resolveModelParams(tree, ModelRequest{Team: "a", Model: "fibre", Prompt: "x", CallerKind: kind}, DefaultBounds)
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, c.patience, 7*time.Second)
		assert.Equal(t, c.priority, 3)
	}
}
