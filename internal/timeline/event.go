package timeline

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindReceived      Kind = "request.received"
	KindRefused       Kind = "request.refused"
	KindQueued        Kind = "request.queued"
	KindLedgerClaimed Kind = "ledger.claimed"
	KindLedgerRefused Kind = "ledger.refused"
	KindLedgerDone    Kind = "ledger.finished"
	KindGranted       Kind = "grant.given"
	KindGrantRefused  Kind = "grant.refused"
	KindReleased      Kind = "grant.released"
	KindPrefillStart  Kind = "prefill.started"
	KindPrefillEnd    Kind = "prefill.ended"
	KindTransferStart Kind = "transfer.started"
	KindTransferEnd   Kind = "transfer.ended"
	KindDecodeStart   Kind = "decode.started"
	KindFirstToken    Kind = "decode.first-token"
	KindDecodeEnd     Kind = "decode.ended"
	KindRetry         Kind = "request.retried"
	KindResumed       Kind = "request.resumed"
	KindCancelled     Kind = "request.cancelled"
	KindCompleted     Kind = "request.completed"
	KindFailed        Kind = "request.failed"
	KindCallStart     Kind = "call.started"
	KindCallEnd       Kind = "call.ended"
	KindEndpointJoin  Kind = "endpoint.joined"
	KindEndpointLost  Kind = "endpoint.lost"
	KindEndpointLeave Kind = "endpoint.leaving"
	KindHoldSwept     Kind = "hold.swept"
	KindViewChanged   Kind = "view.changed"
	KindSettings      Kind = "settings.applied"
	KindLeader        Kind = "control.leader"
	KindLeaseLost     Kind = "lease.lost"
	KindOrder         Kind = "order.issued"
	KindSuspect       Kind = "quarantine.suspect"
	KindQuarantined   Kind = "quarantine.entered"
	KindDraining      Kind = "instance.draining"
)

// Event is one event in this daemon. Fields that don't apply are empty. Detail is
// truncated to MaxDetail bytes.
type Event struct {
	Kind     Kind
	Request  fleet.RequestID
	Attempt  fleet.AttemptID
	Team     fleet.Team
	Endpoint fleet.EndpointID
	Change   string
	Detail   string
}

// MaxDetail is the maximum length of Event.Detail, bytes.
const MaxDetail = 160

// Recorder records events; it never blocks and never fails.
type Recorder interface {
	Record(e Event)
}
