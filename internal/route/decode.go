package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// maxTokenGap is the maximum time between tokens. It is many times any target, so
// that only an engine that has stopped is given up on.
const maxTokenGap = 5 * time.Second

// runDecode streams output tokens to the sink, from the offset that the caller
// already has.
func (a *attempt) runDecode(ctx context.Context) *attemptFailure {
	m := a.request
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := engine.NewIdleTimer(m.remaining(), cancel)
	defer watch.Close()
	a.recordDecodeStart()
	a.decode.sentAt = time.Now()
	stream, err := m.router.opts.Engine.Decode(streamCtx, a.decode.target, m.router.grantGate(a.decode, m.gate), a.decodeRequest())
	a.markSent(a.decode, err)
	if err != nil {
		m.router.recordCooldownFromError(err)
		return a.decodeFailed(ctx, streamCtx, err)
	}
	defer func() { _ = stream.Close() }()
	return a.relayChunks(ctx, streamCtx, stream, watch)
}

func (a *attempt) recordDecodeStart() {
	a.request.recordEvent(timeline.KindDecodeStart, a.id, a.decode.target.ID)
	if a.request.passedTokens == 0 {
		return
	}
	a.request.recordEvent(timeline.KindResumed, a.id, a.decode.target.ID)
	a.request.router.metrics.resumed.Inc()
}

func (a *attempt) decodeRequest() engineapi.DecodeRequest {
	m := a.request
	return engineapi.DecodeRequest{
		Work:      a.engineWork(a.decode.target, m.router.bounds.MaxRequestDuration),
		Prompt:    m.req.Prompt,
		MaxTokens: m.params.maxOutputTokens,
		Offset:    m.passedTokens,
		Prefix:    m.text.String(),
	}
}

// relayChunks passes chunks to the sink until the last one.
func (a *attempt) relayChunks(ctx, streamCtx context.Context, stream engine.Stream, watch *engine.IdleTimer) *attemptFailure {
	for first := true; ; first = false {
		c, err := stream.Next()
		if err != nil {
			return a.decodeFailed(ctx, streamCtx, err)
		}
		// The time that the caller takes to read isn't counted against the engine.
		watch.EndWait()
		if failed := a.checkDecodeZone(); failed != nil {
			return failed
		}
		ended, failed := a.passChunk(c)
		if ended || failed != nil {
			return failed
		}
		if first {
			watch.SetLimit(maxTokenGap)
		}
		watch.BeginWait()
	}
}

// decodeFailed returns the failure of a decode that ended with err.
func (a *attempt) decodeFailed(ctx, streamCtx context.Context, err error) *attemptFailure {
	failed := attemptFailureFromError(ctx, streamCtx, err)
	if !failed.cause.notEndpointFault() && failed.cause != causeDeadline {
		failed.endpoint = a.decode.target.ID
	}
	if failed.cause == causeStalled && a.request.passedTokens == 0 && a.request.remaining() <= 0 {
		failed.cause = causeDeadline
	}
	return failed
}

// passChunk checks one chunk and passes it to the sink. ended is true after the last
// chunk of a complete answer.
func (a *attempt) passChunk(c engineapi.Chunk) (ended bool, failed *attemptFailure) {
	m := a.request
	switch checkChunk(c, a.id, a.decode.target.Incarnation, m.passedTokens) {
	case chunkRepeated:
		return false, nil
	case chunkOtherAttempt, chunkGap:
		return false, &attemptFailure{cause: causeRefused, endpoint: a.decode.target.ID}
	}
	if c.Finish == engineapi.FinishError || c.Finish == engineapi.FinishCancelled {
		return false, &attemptFailure{cause: causeRefused, endpoint: a.decode.target.ID}
	}
	a.recordFirstToken(c)
	if err := m.sink.WriteChunk(c); err != nil {
		return false, &attemptFailure{cause: causeCallerDisconnected}
	}
	m.passedTokens += c.Tokens
	m.software = a.software
	m.text.WriteString(c.Text)
	a.tokens += c.Tokens
	m.router.metrics.outputTokens.Add(float64(c.Tokens))
	if c.Finish == engineapi.FinishNone {
		return false, nil
	}
	a.recordDecodeEnd(c)
	return true, nil
}

func (a *attempt) recordFirstToken(c engineapi.Chunk) {
	if a.request.passedTokens > 0 || c.Tokens == 0 {
		return
	}
	a.request.recordEvent(timeline.KindFirstToken, a.id, a.decode.target.ID)
	a.request.firstTokenAt, a.request.firstTokens = time.Now(), c.Tokens
	waited := a.request.firstTokenAt.Sub(a.request.req.Arrived)
	a.request.router.metrics.observeFirstToken(waited)
	a.request.router.admissionFirstToken(a.request.admitted, waited)
}

func (a *attempt) recordDecodeEnd(c engineapi.Chunk) {
	a.decode.finished = true
	a.request.finish = c.Finish
	a.request.countTargets(time.Now())
	a.request.router.recordSuccess(a.request.req.Team, a.decode.target.ID)
	a.request.recordEvent(timeline.KindDecodeEnd, a.id, a.decode.target.ID)
}

// countTargets counts a complete answer by the targets that it met.
func (m *activeModelRequest) countTargets(now time.Time) {
	if m.firstTokenAt.IsZero() {
		return
	}
	p := answerTiming{
		firstToken:  m.firstTokenAt.Sub(m.req.Arrived),
		decodeTime:  now.Sub(m.firstTokenAt),
		laterTokens: m.passedTokens - m.firstTokens,
	}
	m.router.metrics.targets.WithLabelValues(string(p.compare(m.params.team.Targets))).Inc()
}
