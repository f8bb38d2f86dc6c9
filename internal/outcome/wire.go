package outcome

import (
	"time"
	"unique"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func shardRef(s fleet.LedgerShard, epoch uint64) *pb.ShardRef {
	return &pb.ShardRef{ZoneClass: s.ZoneClass, Shard: s.Shard, Epoch: epoch}
}

func shardFromRef(r *pb.ShardRef) (fleet.LedgerShard, uint64) {
	return fleet.LedgerShard{ZoneClass: r.GetZoneClass(), Shard: r.GetShard()}, r.GetEpoch()
}

func (b Ballot) proto() *pb.Ballot {
	return &pb.Ballot{
		Round:       b.Round,
		InstanceId:  string(b.Owner.Instance),
		Incarnation: uint64(b.Owner.Incarnation),
		Proposer:    b.Proposer,
	}
}

// intern returns the shared copy of a name that many records hold, such as an instance
// ID: otherwise each record would keep its own.
func intern(name string) string { return unique.Make(name).Value() }

func ownerFromProto(p *pb.Owner) fleet.Owner {
	return fleet.Owner{
		Instance:    fleet.InstanceID(intern(p.GetInstanceId())),
		Incarnation: fleet.Incarnation(p.GetIncarnation()),
	}
}

func ballotFromProto(p *pb.Ballot) Ballot {
	return Ballot{
		Round: p.GetRound(),
		Owner: fleet.Owner{
			Instance:    fleet.InstanceID(intern(p.GetInstanceId())),
			Incarnation: fleet.Incarnation(p.GetIncarnation()),
		},
		Proposer: p.GetProposer(),
	}
}

func (d Decision) proto() *pb.Decision {
	if d.Kind == DecisionUnset {
		return nil
	}
	return &pb.Decision{
		Kind:      pb.DecisionKind(d.Kind),
		AttemptId: string(d.Attempt),
		Owner:     d.Owner.Proto(),
	}
}

// decisionFromProto returns the zero Decision for values that no proposer sends. A
// tombstone has no attempt, so that all tombstones are equal.
func decisionFromProto(p *pb.Decision) Decision {
	switch p.GetKind() {
	case pb.DecisionKind_DECISION_KIND_INTENT:
		if p.GetAttemptId() == "" || len(p.GetAttemptId()) > maxNameBytes {
			return Decision{}
		}
		return intentOf(fleet.AttemptID(p.GetAttemptId()), ownerFromProto(p.GetOwner()))
	case pb.DecisionKind_DECISION_KIND_TOMBSTONE:
		return tombstone()
	case pb.DecisionKind_DECISION_KIND_MOVED:
		return moved()
	}
	return Decision{}
}

// maxNameBytes bounds each name in a record, so that a record's memory is bounded
// whatever a peer sends.
const maxNameBytes = 128

func (r StoredRecord) proto(key Key) *pb.OutcomeRecord {
	if !r.HasDecision() {
		return nil
	}
	return &pb.OutcomeRecord{
		Key:            key[:],
		AcceptedBallot: r.Accepted.proto(),
		Accepted:       r.Decision.proto(),
		Outcome:        r.Outcome,
		EndpointId:     string(r.Endpoint),
		StatusCode:     uint32(r.StatusCode),
		TokensPassed:   r.Tokens,
		AgeMs:          uint64(r.Age.Milliseconds()),
	}
}

func storedRecordFromProto(p *pb.OutcomeRecord) StoredRecord {
	decision := decisionFromProto(p.GetAccepted())
	if decision.Kind == DecisionUnset || !namesWithinLimit(p.GetEndpointId()) {
		return StoredRecord{}
	}
	return StoredRecord{
		Accepted:   ballotFromProto(p.GetAcceptedBallot()),
		Decision:   decision,
		Outcome:    knownOutcome(p.GetOutcome()),
		Endpoint:   fleet.EndpointID(intern(p.GetEndpointId())),
		StatusCode: uint16(min(p.GetStatusCode(), maxStatusCode)),
		Tokens:     p.GetTokensPassed(),
		Age:        time.Duration(min(p.GetAgeMs(), maxAgeMs)) * time.Millisecond,
	}
}

const (
	maxStatusCode = 999
	maxAgeMs      = uint64(24 * time.Hour / time.Millisecond)
)

func knownOutcome(o pb.OutcomeKind) pb.OutcomeKind {
	if _, ok := pb.OutcomeKind_name[int32(o)]; !ok {
		return pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED
	}
	return o
}

func namesWithinLimit(names ...string) bool {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return false
		}
	}
	return true
}

func (r Reply) proto(key Key) *pb.LedgerVerdict {
	v := &pb.LedgerVerdict{
		Ok:         r.Status == ReplyOK,
		WrongEpoch: r.Status == ReplyWrongEpoch,
		Full:       r.Status == ReplyFull,
		Record:     r.Record.proto(key),
	}
	if r.Status == ReplyRefused {
		v.Promised = r.Promised.proto()
	}
	return v
}

func replyFromProto(v *pb.LedgerVerdict) Reply {
	r := Reply{
		Status:   ReplyRefused,
		Promised: ballotFromProto(v.GetPromised()),
		Record:   storedRecordFromProto(v.GetRecord()),
	}
	switch {
	case v.GetOk():
		r.Status = ReplyOK
	case v.GetWrongEpoch():
		r.Status = ReplyWrongEpoch
	case v.GetFull():
		r.Status = ReplyFull
	}
	return r
}

func copiedRecordFromProto(p *pb.OutcomeRecord) (CopiedRecord, bool) {
	key, ok := keyFromBytes(p.GetKey())
	record := storedRecordFromProto(p)
	return CopiedRecord{Key: key, Record: record}, ok && record.HasDecision()
}
