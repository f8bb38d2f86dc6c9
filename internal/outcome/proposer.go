package outcome

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Purpose is what a proposer is to decide or learn about a key.
type Purpose uint8

// The purposes.
const (
	PurposeUnset     Purpose = iota
	PurposeClaim             // decide its own intent
	PurposeForbid            // decide a tombstone
	PurposeResolve           // read the key, and decide what may already be decided
	PurposeMarkMoved         // decide that the key has moved to a later zone class
)

type phase uint8

const (
	phaseIdle phase = iota
	phaseLookup
	phaseFast
	phasePrepare
	phaseAccept
	phaseReplicateOutcome
	phaseDone
)

// Step is the proposer's next action: at most one field is set. The zero Step waits for
// more replies.
type Step struct {
	Broadcast *Request // to each replica; the replies go to Proposer.HandleReply
	Retry     bool     // call Proposer.Retry after a short delay
	Done      bool     // Proposer.Result returns the result
}

// Proposer runs the consensus for one claim of a key. It is a state machine driven by
// replies and timeouts, does no I/O, and is not safe for concurrent use.
type Proposer struct {
	purpose    Purpose
	key        Key
	ownIntent  Decision
	endpoint   fleet.EndpointID
	self       fleet.Owner
	proposerID uint64

	group        GroupView
	phase        phase
	ballot       Ballot
	highestRound uint64 // seen or used at this epoch
	value        Decision
	valueRecord  StoredRecord // the replicas' record of value, if another proposed it
	answered     map[int]bool
	okRecords    []StoredRecord
	failures     int
	acceptSent   bool // an accept of ownIntent was sent
	verdict      Verdict
	record       Record
}

// NewProposer returns a proposer for one attempt at a key. proposerID must differ from
// that of every other proposer of this process: two proposers with equal ballots could
// decide different values.
func NewProposer(purpose Purpose, c Claim, self fleet.Owner, proposerID uint64) *Proposer {
	return &Proposer{
		purpose:    purpose,
		key:        c.Key,
		ownIntent:  intentOf(c.Attempt, self),
		endpoint:   c.Endpoint,
		self:       self,
		proposerID: proposerID,
	}
}

// Start begins at an epoch. It is called again when the group changes; replies of an
// earlier epoch are then ignored.
func (p *Proposer) Start(group GroupView) Step {
	if p.phase == phaseDone {
		return Step{Done: true}
	}
	first := p.phase == phaseIdle
	p.group = group
	p.highestRound = group.Epoch << roundBits
	if first && group.FastPath && !group.HistoryLost && (p.purpose == PurposeClaim || p.purpose == PurposeMarkMoved) {
		p.phase = phaseFast
		p.ballot = fastBallot(group.Epoch)
		return p.propose(p.preferredDecision())
	}
	if p.purpose == PurposeResolve {
		return p.lookUp()
	}
	return p.prepare()
}

// Retry starts a round with a higher ballot.
func (p *Proposer) Retry() Step {
	if p.phase == phaseDone {
		return Step{Done: true}
	}
	return p.prepare()
}

// AcceptSent reports whether an accept of the proposer's own intent may have been sent.
func (p *Proposer) AcceptSent() bool { return p.acceptSent }

// Result returns the verdict and record after a Step that is Done.
func (p *Proposer) Result() (Verdict, Record) { return p.verdict, p.record }

// HandleReply processes the reply r to request q from the replica at index from.
func (p *Proposer) HandleReply(from int, q Request, r Reply) Step {
	p.highestRound = max(p.highestRound, p.roundInEpoch(r.Promised))
	// Lookups have no ballot, so the epoch is compared too: a reply of an earlier epoch
	// comes from another set of replicas.
	current := q.Epoch == p.group.Epoch && q.Ballot == p.ballot && q.Action == p.action()
	if !current || p.answered[from] {
		return Step{}
	}
	p.answered[from] = true
	if r.Status != ReplyOK {
		return p.handleFailure()
	}
	p.okRecords = append(p.okRecords, r.Record)
	if len(p.okRecords) < p.quorum() {
		return Step{}
	}
	switch p.phase {
	case phaseLookup:
		return p.handleLookups()
	case phasePrepare:
		return p.handlePromises()
	case phaseReplicateOutcome:
		return p.complete(VerdictRecorded, p.valueRecord)
	}
	return p.answerDecided()
}

// HandleTimeout abandons the current phase.
func (p *Proposer) HandleTimeout() Step {
	switch p.phase {
	case phaseDone:
		return Step{Done: true}
	case phaseFast:
		return p.prepare()
	}
	return Step{Retry: true}
}

func (p *Proposer) roundInEpoch(b Ballot) uint64 {
	if b.Epoch() != p.group.Epoch {
		return 0
	}
	return b.Round
}

func (p *Proposer) action() Action {
	switch p.phase {
	case phaseLookup:
		return ActionLookup
	case phasePrepare:
		return ActionPrepare
	case phaseFast, phaseAccept:
		return ActionAccept
	case phaseReplicateOutcome:
		return ActionFinish
	}
	return ActionUnset
}

func (p *Proposer) quorum() int {
	if p.phase == phaseFast {
		return p.group.Replicas
	}
	return p.group.majority()
}

func (p *Proposer) handleFailure() Step {
	p.failures++
	if p.group.Replicas-p.failures >= p.quorum() {
		return Step{}
	}
	if p.phase == phaseFast {
		return p.prepare()
	}
	return Step{Retry: true}
}

func (p *Proposer) prepare() Step {
	p.phase = phasePrepare
	p.highestRound++
	p.ballot = Ballot{Round: p.highestRound, Owner: p.self, Proposer: p.proposerID}
	p.resetReplies()
	return p.broadcast(ActionPrepare)
}

func (p *Proposer) propose(d Decision) Step {
	p.value = d
	p.acceptSent = p.acceptSent || d == p.ownIntent
	p.resetReplies()
	return p.broadcast(ActionAccept)
}

func (p *Proposer) resetReplies() {
	p.answered = make(map[int]bool, p.group.Replicas)
	p.okRecords = p.okRecords[:0]
	p.failures = 0
}

func (p *Proposer) broadcast(a Action) Step {
	q := &Request{
		Action: a,
		Shard:  p.group.Shard,
		Epoch:  p.group.Epoch,
		Key:    p.key,
		Ballot: p.ballot,
	}
	if a == ActionAccept {
		q.Decision = p.value
		q.Endpoint = p.valueRecord.Endpoint
		if p.value == p.ownIntent {
			q.Endpoint = p.endpoint
		}
	}
	return Step{Broadcast: q}
}

// lookUp asks for no promise: a lookup of an unclaimed key must not create a
// record.
func (p *Proposer) lookUp() Step {
	p.phase = phaseLookup
	p.ballot = Ballot{}
	p.resetReplies()
	return p.broadcast(ActionLookup)
}

// handleLookups answers if the majority agrees, and otherwise starts a round to decide.
func (p *Proposer) handleLookups() Step {
	first := p.okRecords[0]
	for _, r := range p.okRecords {
		if r.Accepted != first.Accepted || r.Decision != first.Decision || r.HasOutcome() != first.HasOutcome() {
			return p.prepare()
		}
	}
	switch {
	case !first.HasDecision() && p.group.HistoryLost:
		return p.complete(VerdictUnknown, StoredRecord{})
	case !first.HasDecision():
		return p.complete(VerdictUnset, StoredRecord{})
	case first.HasOutcome():
		return p.complete(VerdictRecorded, first)
	case first.Accepted.Fast(), first.Decision.Kind == DecisionTombstone, p.group.HistoryLost:
		return p.prepare()
	}
	p.value = first.Decision
	p.valueRecord = first
	return p.answerDecided()
}

// handlePromises chooses what to propose, or answers if no decision is needed.
func (p *Proposer) handlePromises() Step {
	choice := chooseProposal(p.okRecords)
	if choice.record.HasOutcome() {
		return p.answerRecorded(choice.record)
	}
	other := choice.record.Decision.Kind == DecisionIntent && choice.record.Decision != p.ownIntent
	if other && p.group.InView(choice.record.Decision.Owner) && (p.purpose == PurposeResolve || p.group.HistoryLost) {
		return p.complete(VerdictInFlight, choice.record)
	}
	if p.group.HistoryLost {
		return p.complete(VerdictUnknown, choice.record)
	}
	// Another attempt's intent is proposed before "in flight" is answered. If a claim
	// gave up on seeing an undecided intent, two claims could give up for each other:
	// neither would run the request, and repeats would be answered "in flight" for as
	// long as both owners live.
	switch {
	case choice.bound, p.purpose == PurposeResolve && choice.record.HasDecision():
		p.valueRecord = choice.record
		return p.accept(choice.record.Decision)
	case p.purpose == PurposeResolve:
		return p.complete(VerdictUnset, StoredRecord{})
	}
	return p.accept(p.preferredDecision())
}

// preferredDecision is what the proposer proposes if no earlier proposal binds it.
func (p *Proposer) preferredDecision() Decision {
	switch p.purpose {
	case PurposeForbid:
		return tombstone()
	case PurposeMarkMoved:
		return moved()
	}
	return p.ownIntent
}

// answerRecorded answers with a recorded outcome. If some of the majority lack the
// outcome, it is first replicated to a majority: otherwise a later repeat that reads
// from other replicas would learn less than this one.
func (p *Proposer) answerRecorded(r StoredRecord) Step {
	for _, o := range p.okRecords {
		if !o.HasOutcome() {
			return p.replicateOutcome(r)
		}
	}
	return p.complete(VerdictRecorded, r)
}

func (p *Proposer) replicateOutcome(r StoredRecord) Step {
	p.phase = phaseReplicateOutcome
	p.valueRecord = r
	p.resetReplies()
	q := newFinishRequest(p.group, p.key, r)
	q.Ballot = p.ballot
	return Step{Broadcast: &q}
}

func (p *Proposer) accept(d Decision) Step {
	p.phase = phaseAccept
	return p.propose(d)
}

// tombstoneTrustFraction is the fraction of a record's life during which a tombstone
// found still means "not run". Replicas drop a record at slightly different times; in
// the rest of its life, one replica may hold a tombstone while the two others have
// dropped theirs and decided a new intent.
const tombstoneTrustFraction = 0.8

func (p *Proposer) answerDecided() Step {
	switch {
	case p.value.Kind == DecisionMoved:
		return p.complete(VerdictMoved, StoredRecord{Decision: p.value})
	case p.value.Kind == DecisionTombstone && p.valueRecord.Age.Seconds() > tombstoneTrustFraction*p.group.RecordLife.Seconds():
		return p.complete(VerdictUnknown, p.valueRecord)
	case p.value.Kind == DecisionTombstone:
		return p.complete(VerdictNotRun, StoredRecord{Decision: p.value})
	case p.value == p.ownIntent && p.purpose == PurposeClaim:
		return p.complete(VerdictRun, StoredRecord{Decision: p.ownIntent, Endpoint: p.endpoint})
	case p.group.InView(p.value.Owner):
		return p.complete(VerdictInFlight, p.valueRecord)
	}
	return p.complete(VerdictUnknown, p.valueRecord)
}

func (p *Proposer) complete(v Verdict, r StoredRecord) Step {
	p.phase = phaseDone
	p.verdict = v
	p.record = recordOf(v, r)
	return Step{Done: true}
}

func recordOf(v Verdict, r StoredRecord) Record {
	return Record{
		Outcome:    outcomeOf(v, r),
		Owner:      r.Decision.Owner,
		Attempt:    r.Decision.Attempt,
		Endpoint:   r.Endpoint,
		StatusCode: int(r.StatusCode),
		Age:        r.Age,
	}
}

func outcomeOf(v Verdict, r StoredRecord) pb.OutcomeKind {
	switch v {
	case VerdictRecorded:
		return r.Outcome
	case VerdictRun, VerdictInFlight:
		return pb.OutcomeKind_OUTCOME_KIND_IN_FLIGHT
	case VerdictNotRun:
		return pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	case VerdictUnknown, VerdictMoved:
		return pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	return pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED
}
