package outcome

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Replica is one process' part in all ledger groups. It is pure and not safe
// for concurrent use.
type Replica struct {
	self   fleet.Owner
	limits Limits
	shards map[fleet.LedgerShard]*shard
}

// NewReplica makes a replica without shards.
func NewReplica(self fleet.Owner, limits Limits) *Replica {
	return &Replica{self: self, limits: limits, shards: make(map[fleet.LedgerShard]*shard)}
}

// SetRecordLife changes how long records live from now on.
func (r *Replica) SetRecordLife(life time.Duration) {
	r.limits.RecordLife = life
	for _, s := range r.shards {
		s.table.SetRecordLife(life)
	}
}

// ApplyGroup takes a group's state from the shared state. At a new epoch the
// replica stops answering until it has copied the shard and is called ready.
func (r *Replica) ApplyGroup(g fleet.LedgerGroup) {
	mine := slices.IndexFunc(g.Replicas, func(m fleet.LedgerReplica) bool { return m.Owner == r.self })
	s, known := r.shards[g.Shard]
	if !known {
		if mine < 0 {
			return
		}
		s = r.newShard(g.Shard)
	}
	if g.Epoch < s.epoch {
		return
	}
	if g.Epoch > s.group.Epoch {
		s.enter(g)
	}
	s.group = g
	s.member = mine >= 0
	if s.member && g.Replicas[mine].Ready {
		s.ready = g.Epoch
	}
}

func (r *Replica) newShard(name fleet.LedgerShard) *shard {
	s := &shard{table: NewAcceptor(r.limits), copied: make(map[fleet.Owner]bool)}
	r.shards[name] = s
	return s
}

func (s *shard) enter(g fleet.LedgerGroup) {
	s.epoch = g.Epoch
	s.group = g
	s.copied = make(map[fleet.Owner]bool)
}

// Retain leaves the groups that the shared state has dropped.
func (r *Replica) Retain(groups map[fleet.LedgerShard]fleet.LedgerGroup) {
	for name, s := range r.shards {
		if _, ok := groups[name]; !ok {
			s.member = false
		}
	}
}

// Handle answers a request, or ReplyWrongEpoch.
func (r *Replica) Handle(now time.Time, q Request) Reply {
	s, ok := r.shards[q.Shard]
	if !ok || !s.serves(q.Epoch) {
		return Reply{Status: ReplyWrongEpoch}
	}
	switch q.Action {
	case ActionPrepare:
		if q.Ballot.Epoch() != q.Epoch || q.Ballot.Fast() {
			return Reply{Status: ReplyWrongEpoch}
		}
		return s.table.Prepare(now, q.Key, q.Ballot)
	case ActionAccept:
		if q.Ballot.Epoch() != q.Epoch || q.Decision.Kind == DecisionUnset {
			return Reply{Status: ReplyWrongEpoch}
		}
		return s.table.Accept(now, q.Key, q.Ballot, q.Decision, q.Endpoint)
	case ActionFinish:
		if q.Decision.Kind != DecisionIntent {
			return Reply{Status: ReplyRefused}
		}
		return s.table.Finish(now, q.Key, q.end())
	case ActionLookup:
		return s.table.Lookup(now, q.Key)
	}
	return Reply{Status: ReplyRefused}
}

func (q Request) end() Held {
	return Held{
		Decision: q.Decision,
		Outcome:  q.Outcome,
		Endpoint: q.Endpoint,
		Status:   q.Status,
		Tokens:   q.Tokens,
	}
}

// Expire drops records that have outlived their life, at most limit of each
// shard, and the empty tables of groups that this replica has left.
func (r *Replica) Expire(now time.Time, limit int) int {
	dropped := 0
	for name, s := range r.shards {
		dropped += s.table.Expire(now, limit)
		if !s.member && s.table.Len() == 0 {
			delete(r.shards, name)
		}
	}
	return dropped
}

// Records gives the number of records over all shards.
func (r *Replica) Records() int {
	n := 0
	for _, s := range r.shards {
		n += s.table.Len()
	}
	return n
}
