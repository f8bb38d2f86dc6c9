package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// streamStall is the longest gap between tokens: many times any target, so
// that only an engine that stands still is given up on.
const streamStall = 5 * time.Second

// runDecode streams output tokens to the sink, from the offset that the
// caller already has.
func (a *attempt) runDecode(ctx context.Context) *setback {
	m := a.run
	local, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := engine.NewWatch(m.remaining(), cancel)
	defer watch.Close()
	a.noteDecodeStart()
	stream, err := m.router.opts.Engine.Decode(local, a.decode.target, m.router.gateUnder(a.decode, m.gate), a.decodeRequest())
	a.touch(a.decode, err)
	if err != nil {
		m.router.hearRefusal(err)
		return a.decodeFailed(ctx, local, err)
	}
	defer func() { _ = stream.Close() }()
	return a.relay(ctx, local, stream, watch)
}

func (a *attempt) noteDecodeStart() {
	a.run.event(timeline.KindDecodeStart, a.id, a.decode.target.ID)
	if a.run.passed == 0 {
		return
	}
	a.run.event(timeline.KindResumed, a.id, a.decode.target.ID)
	a.run.router.metrics.resumed.Inc()
}

func (a *attempt) decodeRequest() engineapi.DecodeRequest {
	m := a.run
	return engineapi.DecodeRequest{
		Work:      a.work(a.decode.target, m.router.bounds.StreamTime),
		Prompt:    m.req.Prompt,
		MaxTokens: m.class.output,
		Offset:    m.passed,
		Prefix:    m.text.String(),
	}
}

// relay passes chunks on until the last one.
func (a *attempt) relay(ctx, local context.Context, stream engine.Stream, watch *engine.Watch) *setback {
	for first := true; ; first = false {
		c, err := stream.Next()
		if err != nil {
			return a.decodeFailed(ctx, local, err)
		}
		// A caller that reads slowly is no fault of the engine.
		watch.End()
		if s := a.placeHeld(); s != nil {
			return s
		}
		ended, s := a.pass(c)
		if ended || s != nil {
			return s
		}
		if first {
			watch.SetLimit(streamStall)
		}
		watch.Begin()
	}
}

// decodeFailed reads the end of a stream that is not whole.
func (a *attempt) decodeFailed(ctx, local context.Context, err error) *setback {
	s := fromError(ctx, local, err)
	if !s.cause.faultless() && s.cause != causeDeadline {
		s.endpoint = a.decode.target.ID
	}
	if s.cause == causeStalled && a.run.passed == 0 && a.run.remaining() <= 0 {
		s.cause = causeDeadline
	}
	return s
}

// pass checks one chunk and gives it to the sink. ended is true after the
// last one of a whole answer.
func (a *attempt) pass(c engineapi.Chunk) (ended bool, s *setback) {
	m := a.run
	switch judgeChunk(c, a.id, a.decode.target.Incarnation, m.passed) {
	case chunkRepeated:
		return false, nil
	case chunkForeign, chunkGap:
		return false, &setback{cause: causeRefused, endpoint: a.decode.target.ID}
	}
	if c.Finish == engineapi.FinishError || c.Finish == engineapi.FinishCancelled {
		return false, &setback{cause: causeRefused, endpoint: a.decode.target.ID}
	}
	a.firstToken(c)
	if err := m.sink.Pass(c); err != nil {
		return false, &setback{cause: causeCallerGone}
	}
	m.passed += c.Tokens
	m.text.WriteString(c.Text)
	a.tokens += c.Tokens
	m.router.metrics.tokens.Add(float64(c.Tokens))
	if c.Finish == engineapi.FinishNone {
		return false, nil
	}
	a.ended(c)
	return true, nil
}

func (a *attempt) firstToken(c engineapi.Chunk) {
	if a.run.passed > 0 || c.Tokens == 0 {
		return
	}
	a.run.event(timeline.KindFirstToken, a.id, a.decode.target.ID)
	a.run.firstAt, a.run.firstTokens = time.Now(), c.Tokens
	waited := a.run.firstAt.Sub(a.run.req.Arrived)
	a.run.router.metrics.sawFirstToken(waited)
	a.run.router.admissionSaw(a.run.admitted, waited)
}

func (a *attempt) ended(c engineapi.Chunk) {
	a.decode.finished = true
	a.run.finish = c.Finish
	a.run.countTargets(time.Now())
	a.run.router.succeeded(a.run.req.Team, a.decode.target.ID)
	a.run.event(timeline.KindDecodeEnd, a.id, a.decode.target.ID)
}

// countTargets counts a whole answer by the targets that it met.
func (m *modelRun) countTargets(now time.Time) {
	if m.firstAt.IsZero() {
		return
	}
	p := pace{
		firstToken: m.firstAt.Sub(m.req.Arrived),
		decoding:   now.Sub(m.firstAt),
		later:      m.passed - m.firstTokens,
	}
	m.router.metrics.targets.WithLabelValues(string(p.judge(m.class.team.Targets))).Inc()
}
