package outcome

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Action is the operation that a request asks of a replica.
type Action uint8

// The actions.
const (
	ActionUnset Action = iota
	ActionPrepare
	ActionAccept
	ActionFinish
	ActionLookup
)

// Request is a message to one replica of a shard at an epoch.
type Request struct {
	Action     Action
	Shard      fleet.LedgerShard
	Epoch      uint64
	Key        Key
	Ballot     Ballot
	Decision   Decision // accept and finish
	Endpoint   fleet.EndpointID
	Outcome    pb.OutcomeKind // finish
	StatusCode uint16
	Tokens     uint32
}

// ReplyStatus is the result of a request at a replica.
type ReplyStatus uint8

// The statuses.
const (
	ReplyUnset       ReplyStatus = iota
	ReplyOK                      // the request was applied
	ReplyRefused                 // a higher ballot was promised, or another value is kept
	ReplyWrongEpoch              // the replica is at another epoch, or not ready
	ReplyFull                    // no room for a new key
	ReplyUnreachable             // no answer; the replica may have applied the request
)

// Reply is a replica's answer to a request.
type Reply struct {
	Status   ReplyStatus
	Promised Ballot // when refused
	Record   StoredRecord
}

func newFinishRequest(group GroupView, key Key, outcome StoredRecord) Request {
	return Request{
		Action:     ActionFinish,
		Shard:      group.Shard,
		Epoch:      group.Epoch,
		Key:        key,
		Decision:   outcome.Decision,
		Endpoint:   outcome.Endpoint,
		Outcome:    outcome.Outcome,
		StatusCode: outcome.StatusCode,
		Tokens:     outcome.Tokens,
	}
}
