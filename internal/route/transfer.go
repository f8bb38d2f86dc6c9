package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

const (
	// fullPause is the wait before a decode engine that was still full is
	// asked again: grants may come a little before the slot is free. It doubles
	// each time, as each question draws on the fleet's budget for retries.
	fullPause = 15 * time.Millisecond
	// transferTries bounds the decode engines that one KV cache is sent to.
	transferTries = 2
	// secondChance is the part of a transfer's time bound that must be left of
	// the KV cache's life for another transfer to be worth a start.
	secondChance = 4
)

// moveKV has the decode engine fetch the KV cache. A transfer that stalls is
// given up on within Timeouts.Transfer; another decode engine gets it while
// the cache still lives.
//
// Without the bound a stalled link shows as a decode slot and prefill memory
// that stay occupied until the caller's patience ends. The bound holds as both
// ends are cancelled when it passes, whatever the link does.
func (a *attempt) moveKV(ctx context.Context) *setback {
	s := a.sourceHeld()
	if s != nil {
		return s
	}
	for n := range transferTries {
		if n > 0 && !a.nextDecode(ctx, s) {
			return s
		}
		if s = a.importOnce(ctx); s == nil {
			a.moved()
			return nil
		}
		if !a.anotherDecode(s) {
			return s
		}
	}
	return s
}

// moved frees the prefill side: its memory is free once the cache has left.
func (a *attempt) moved() {
	a.kv.moved = true
	a.prefill.finished = true
	a.run.router.free(a.prefill, nil, 0)
}

// nextDecode swaps a decode engine that a transfer failed at for another, if
// the KV cache lives long enough.
func (a *attempt) nextDecode(ctx context.Context, s *setback) bool {
	left := time.Until(a.kv.expires)
	if left < a.run.class.timeouts.Transfer/secondChance || ctx.Err() != nil {
		return false
	}
	a.run.noteLeftover(a.decode)
	a.run.router.free(a.decode, s, 0)
	failed := a.decode.grant.Endpoint
	a.decode = nil
	if !a.run.router.mayTryAgain(a.run.req.Team, s) {
		return false
	}
	// Its home may get this attempt's release after a second take there.
	a.run.avoid.add(failed)
	h, refusal := a.take(ctx, a.wantDecode(left/2))
	if s.cause == causeGrantOver {
		delete(a.run.avoid, failed)
	}
	if refusal != nil {
		a.blameSource(s, refusal)
		return false
	}
	a.decode = h
	return true
}

// blameSource suspects the prefill engine when there is no other decode engine
// to send to: the same one can be tried with another source.
func (a *attempt) blameSource(s, refusal *setback) {
	if s.cause == causeStalled && refusal.cause == causeExhausted {
		a.run.clearStalled()
		s.endpoint = a.prefill.target.ID
	}
}

func (a *attempt) importOnce(ctx context.Context) *setback {
	m := a.run
	m.event(timeline.KindTransferStart, a.id, a.decode.target.ID)
	local, cancel := context.WithTimeout(ctx, a.transferBound())
	defer cancel()
	gate := m.router.gateUnder(a.decode, m.gate)
	a.bookLink(time.Now(), a.kv.reply.KVBytes)
	defer a.leaveLink(0)
	for wait := fullPause; ; wait *= 2 {
		if !m.decodes.maySend() {
			return overBudget()
		}
		reply, err := m.router.opts.Engine.Import(local, a.decode.target, gate, a.importRequest())
		m.decodes.sent(a.decode.target.ID, err)
		a.touch(a.decode, err)
		if err == nil {
			a.leaveLink(millis(reply.TransferMs))
			m.event(timeline.KindTransferEnd, a.id, a.decode.target.ID)
			return nil
		}
		s := fromError(ctx, local, err)
		a.blame(s)
		if s.cause != causeFull || s.rests || time.Until(a.kv.expires) < wait {
			return s
		}
		if pause(local, wait) != nil {
			return &setback{cause: causeFull, endpoint: a.decode.target.ID}
		}
	}
}

// blame names the endpoint to avoid: a decode engine that answers that its
// fetch failed lives, so the other end is suspected.
func (a *attempt) blame(s *setback) {
	switch {
	case s.cause == causeGrantOver:
	case s.code == engineapi.CodeTransfer || s.code == engineapi.CodeGone:
		s.endpoint = a.prefill.target.ID
	case s.cause == causeStalled:
		s.endpoint = a.run.blameStall(a.prefill.target.ID, a.decode.target.ID)
	case s.endpoint == "":
		s.endpoint = a.decode.target.ID
	}
}

// anotherDecode tells whether the KV cache may go to another decode engine.
func (a *attempt) anotherDecode(s *setback) bool {
	stuck := s.cause == causeStalled || s.cause == causeBroken || s.cause == causeGrantOver
	return stuck && s.endpoint != a.prefill.target.ID
}

// transferBound is the time one transfer may take: never past the cache's life.
func (a *attempt) transferBound() time.Duration {
	return min(a.run.class.timeouts.Transfer, time.Until(a.kv.expires))
}

func (a *attempt) importRequest() engineapi.ImportRequest {
	return engineapi.ImportRequest{
		Work:         a.work(a.decode.target, a.run.remaining()),
		Source:       a.prefill.target.Address,
		Handle:       a.kv.reply.Handle,
		PromptTokens: a.kv.reply.PromptTokens,
		KVBytes:      a.kv.reply.KVBytes,
	}
}
