package outcome

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Replica is one process's part in all ledger groups. It does no I/O and is not safe
// for concurrent use.
type Replica struct {
	self   fleet.Owner
	limits Limits
	shards map[fleet.LedgerShard]*shard
}

// NewReplica returns a replica without shards.
func NewReplica(self fleet.Owner, limits Limits) *Replica {
	return &Replica{self: self, limits: limits, shards: make(map[fleet.LedgerShard]*shard)}
}

// SetRecordLife changes how long records live, existing ones included.
func (r *Replica) SetRecordLife(life time.Duration) {
	r.limits.RecordLife = life
	for _, s := range r.shards {
		s.acceptor.SetRecordLife(life)
	}
}

// ApplyGroup applies a group of the shared state. At a new epoch, the replica stops
// answering until it has copied the shard and the shared state marks it ready.
func (r *Replica) ApplyGroup(g fleet.LedgerGroup) {
	mine := slices.IndexFunc(g.Replicas, func(m fleet.LedgerReplica) bool { return m.Owner == r.self })
	s, known := r.shards[g.Shard]
	if !known {
		if mine < 0 {
			return
		}
		s = r.addShard(g.Shard)
	}
	if g.Epoch < s.epoch {
		return
	}
	if g.Epoch > s.group.Epoch {
		s.enterEpoch(g)
	}
	s.group = g
	s.member = mine >= 0
	if s.member && g.Replicas[mine].Ready {
		s.readyEpoch = g.Epoch
	}
}

func (r *Replica) addShard(name fleet.LedgerShard) *shard {
	s := &shard{acceptor: NewAcceptor(r.limits), copiedSources: make(map[fleet.Owner]bool)}
	r.shards[name] = s
	return s
}

func (s *shard) enterEpoch(g fleet.LedgerGroup) {
	s.epoch = g.Epoch
	s.group = g
	s.copiedSources = make(map[fleet.Owner]bool)
}

// LeaveRemovedGroups leaves the groups that are no longer in the shared state.
func (r *Replica) LeaveRemovedGroups(groups map[fleet.LedgerShard]fleet.LedgerGroup) {
	for name, s := range r.shards {
		if _, ok := groups[name]; !ok {
			s.member = false
		}
	}
}

// Handle answers a request. The reply is ReplyWrongEpoch if the replica doesn't serve
// the request's epoch.
func (r *Replica) Handle(now time.Time, q Request) Reply {
	s, ok := r.shards[q.Shard]
	if !ok || !s.servesEpoch(q.Epoch) {
		return Reply{Status: ReplyWrongEpoch}
	}
	switch q.Action {
	case ActionPrepare:
		if q.Ballot.Epoch() != q.Epoch || q.Ballot.Fast() {
			return Reply{Status: ReplyWrongEpoch}
		}
		return s.acceptor.Prepare(now, q.Key, q.Ballot)
	case ActionAccept:
		if q.Ballot.Epoch() != q.Epoch || q.Decision.Kind == DecisionUnset {
			return Reply{Status: ReplyWrongEpoch}
		}
		return s.acceptor.Accept(now, q.Key, q.Ballot, q.Decision, q.Endpoint)
	case ActionFinish:
		if q.Decision.Kind != DecisionIntent {
			return Reply{Status: ReplyRefused}
		}
		return s.acceptor.Finish(now, q.Key, q.storedRecord())
	case ActionLookup:
		return s.acceptor.Lookup(now, q.Key)
	}
	return Reply{Status: ReplyRefused}
}

func (q Request) storedRecord() StoredRecord {
	return StoredRecord{
		Decision:   q.Decision,
		Outcome:    q.Outcome,
		Endpoint:   q.Endpoint,
		StatusCode: q.StatusCode,
		Tokens:     q.Tokens,
	}
}

// Expire drops expired records, at most limit of each shard, and the empty shards of
// groups that this replica has left. It returns the number of records dropped.
func (r *Replica) Expire(now time.Time, limit int) int {
	dropped := 0
	for name, s := range r.shards {
		dropped += s.acceptor.Expire(now, limit)
		if !s.member && s.acceptor.Len() == 0 {
			delete(r.shards, name)
		}
	}
	return dropped
}

// RecordCount returns the number of records in all shards.
func (r *Replica) RecordCount() int {
	n := 0
	for _, s := range r.shards {
		n += s.acceptor.Len()
	}
	return n
}
