package outcome

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Action is what a request asks of a replica.
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
	Action   Action
	Shard    fleet.LedgerShard
	Epoch    uint64
	Key      Key
	Ballot   Ballot
	Decision Decision // accept and finish
	Endpoint fleet.EndpointID
	Outcome  pb.OutcomeKind // finish
	Status   uint16
	Tokens   uint32
}

// ReplyStatus is how a replica took a request.
type ReplyStatus uint8

// The statuses.
const (
	ReplyUnset       ReplyStatus = iota
	ReplyOK                      // done
	ReplyRefused                 // a higher ballot was promised, or another value stands
	ReplyWrongEpoch              // the replica is at another epoch, or not ready
	ReplyFull                    // no room for a new key
	ReplyUnreachable             // no answer; the request may have been taken
)

// Reply is a replica's answer.
type Reply struct {
	Status   ReplyStatus
	Promised Ballot // when refused
	Held     Held
}

func finishRequest(c Circumstances, key Key, end Held) Request {
	return Request{
		Action:   ActionFinish,
		Shard:    c.Shard,
		Epoch:    c.Epoch,
		Key:      key,
		Decision: end.Decision,
		Endpoint: end.Endpoint,
		Outcome:  end.Outcome,
		Status:   end.Status,
		Tokens:   end.Tokens,
	}
}
