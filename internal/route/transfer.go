package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

const (
	// minFullRetryDelay is the delay before a full decode engine is asked again, since
	// grants may arrive shortly before the slot is free. It doubles each time, as each
	// send takes from the fleet's retry budget.
	minFullRetryDelay = 15 * time.Millisecond
	// maxTransferAttempts limits the decode engines to which one KV cache is sent.
	maxTransferAttempts = 2
	// minTransferTimeDivisor: another transfer is started only if the KV cache lives for
	// at least the transfer timeout divided by this.
	minTransferTimeDivisor = 4
)

// transferKV makes the decode engine fetch the KV cache. A transfer that stalls is
// cancelled after Timeouts.Transfer; another decode engine gets the cache while it
// lives.
//
// Without the timeout a stalled link would occupy a decode slot and prefill memory
// until the caller's patience ends. When it passes, both ends are cancelled whatever
// the state of the link.
func (a *attempt) transferKV(ctx context.Context) *attemptFailure {
	failed := a.checkPrefillZone()
	if failed != nil {
		return failed
	}
	for transfer := range maxTransferAttempts {
		if transfer > 0 && !a.replaceDecode(ctx, failed) {
			return failed
		}
		if failed = a.importKV(ctx); failed == nil {
			a.releasePrefill()
			return nil
		}
		if !a.mayReplaceDecode(failed) {
			return failed
		}
	}
	return failed
}

// releasePrefill releases the prefill grant. The engine has freed its memory by itself
// once the cache was transferred.
func (a *attempt) releasePrefill() {
	a.kv.transferred = true
	a.prefill.finished = true
	a.request.router.release(a.prefill, nil, 0)
}

// replaceDecode replaces a decode engine at which a transfer failed. It returns false
// if the KV cache expires too soon, no retry is allowed or no slot is granted.
func (a *attempt) replaceDecode(ctx context.Context, failed *attemptFailure) bool {
	left := time.Until(a.kv.expires)
	if left < a.request.params.timeouts.Transfer/minTransferTimeDivisor || ctx.Err() != nil {
		return false
	}
	a.request.addPendingCancel(a.decode)
	a.request.router.release(a.decode, failed, 0)
	failedEndpoint := a.decode.grant.Endpoint
	a.decode = nil
	if !a.request.router.mayRetryAfter(a.request.req.Team, failed) {
		return false
	}
	// Avoided, as its home may receive this attempt's release only after another request
	// for a grant.
	a.request.avoid.add(failedEndpoint)
	h, refusal := a.acquireSlot(ctx, a.decodeSlotRequest(left/2))
	if failed.cause == causeGrantExpired {
		delete(a.request.avoid, failedEndpoint)
	}
	if refusal != nil {
		a.suspectPrefill(failed, refusal)
		return false
	}
	a.decode = h
	return true
}

// suspectPrefill marks the prefill engine for avoidance if a transfer stalled and there
// is no other decode engine: the same decode engine can be tried with another source.
func (a *attempt) suspectPrefill(failed, refusal *attemptFailure) {
	if failed.cause == causeStalled && refusal.cause == causeExhausted {
		a.request.clearFirstStall()
		failed.endpoint = a.prefill.target.ID
	}
}

func (a *attempt) importKV(ctx context.Context) *attemptFailure {
	m := a.request
	m.recordEvent(timeline.KindTransferStart, a.id, a.decode.target.ID)
	local, cancel := context.WithTimeout(ctx, a.transferTimeout())
	defer cancel()
	gate := m.router.grantGate(a.decode, m.gate)
	a.bookLink(time.Now(), a.kv.reply.KVBytes)
	defer a.releaseLink(0)
	for wait := minFullRetryDelay; ; wait *= 2 {
		if !m.decodeArrivals.reserveSend() {
			return overBudgetFailure()
		}
		reply, err := m.router.opts.Engine.Import(local, a.decode.target, gate, a.importRequest())
		m.decodeArrivals.recordSend(a.decode.target.ID, err)
		a.markSent(a.decode, err)
		if err == nil {
			a.releaseLink(millis(reply.TransferMs))
			m.recordEvent(timeline.KindTransferEnd, a.id, a.decode.target.ID)
			return nil
		}
		failed := attemptFailureFromError(ctx, local, err)
		a.suspect(failed)
		if failed.cause != causeNoSlot || failed.cooldown || time.Until(a.kv.expires) < wait {
			return failed
		}
		if pause(local, wait) != nil {
			return &attemptFailure{cause: causeNoSlot, endpoint: a.decode.target.ID}
		}
	}
}

// suspect sets the endpoint to avoid. If a decode engine answers that its fetch failed,
// it is alive, so that the prefill engine is suspected.
func (a *attempt) suspect(failed *attemptFailure) {
	switch {
	case failed.cause == causeGrantExpired:
	case failed.code == engineapi.CodeTransfer || failed.code == engineapi.CodeGone:
		failed.endpoint = a.prefill.target.ID
	case failed.cause == causeStalled:
		failed.endpoint = a.request.suspectAfterStall(a.prefill.target.ID, a.decode.target.ID)
	case failed.endpoint == "":
		failed.endpoint = a.decode.target.ID
	}
}

// mayReplaceDecode reports whether the KV cache may be sent to another decode engine.
func (a *attempt) mayReplaceDecode(failed *attemptFailure) bool {
	stuck := failed.cause == causeStalled || failed.cause == causeConnectionBroken || failed.cause == causeGrantExpired
	return stuck && failed.endpoint != a.prefill.target.ID
}

// transferTimeout returns the maximum duration of one transfer, which ends no later than
// the KV cache expires.
func (a *attempt) transferTimeout() time.Duration {
	return min(a.request.params.timeouts.Transfer, time.Until(a.kv.expires))
}

func (a *attempt) importRequest() engineapi.ImportRequest {
	return engineapi.ImportRequest{
		Work:         a.engineWork(a.decode.target, a.request.remaining()),
		Source:       a.prefill.target.Address,
		Handle:       a.kv.reply.Handle,
		PromptTokens: a.kv.reply.PromptTokens,
		KVBytes:      a.kv.reply.KVBytes,
	}
}
