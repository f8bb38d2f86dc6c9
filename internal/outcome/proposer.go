package outcome

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Purpose is what a proposer wants with a key.
type Purpose uint8

// The purposes.
const (
	PurposeUnset   Purpose = iota
	PurposeClaim           // decide the own intent
	PurposeForbid          // decide a tombstone
	PurposeResolve         // learn, and decide what may be decided
	PurposeSeal            // decide that the key has moved to a later zone class
)

type phase uint8

const (
	phaseIdle phase = iota
	phaseRead
	phaseFast
	phasePrepare
	phaseAccept
	phaseSpread
	phaseDone
)

// Step is what a proposer wants next: at most one of the fields is set. The
// zero Step waits for more replies.
type Step struct {
	Broadcast *Request // to each replica; the replies go to Reply
	Retry     bool     // wait a little, then call Retry
	Done      bool     // Verdict and Record hold the result
}

// Proposer coordinates one claim of a key: a state machine that is fed with
// replies and timeouts. It is pure and not safe for concurrent use.
type Proposer struct {
	purpose  Purpose
	key      Key
	own      Decision
	endpoint fleet.EndpointID
	self     fleet.Owner
	number   uint64

	circumstances Circumstances
	phase         phase
	ballot        Ballot
	highest       uint64 // round seen or used
	value         Decision
	held          Held // of value, when it is another's
	answered      map[int]bool
	oks           []Held
	failures      int
	proposed      bool // an accept of own was sent
	verdict       Verdict
	record        Record
}

// NewProposer makes a proposer for one attempt at a key. number differs from
// that of each other proposer of this process: two with equal ballots could
// each decide another value.
func NewProposer(purpose Purpose, c Claim, self fleet.Owner, number uint64) *Proposer {
	return &Proposer{
		purpose:  purpose,
		key:      c.Key,
		own:      intentOf(c.Attempt, self),
		endpoint: c.Endpoint,
		self:     self,
		number:   number,
	}
}

// Start begins at an epoch; it is called again when the group changes. Replies
// of an earlier epoch don't count.
func (p *Proposer) Start(c Circumstances) Step {
	if p.phase == phaseDone {
		return Step{Done: true}
	}
	first := p.phase == phaseIdle
	p.circumstances = c
	p.highest = c.Epoch << roundBits
	if first && c.Fast && !c.HistoryLost && (p.purpose == PurposeClaim || p.purpose == PurposeSeal) {
		p.phase = phaseFast
		p.ballot = fastBallot(c.Epoch)
		return p.propose(p.wanted())
	}
	if p.purpose == PurposeResolve {
		return p.read()
	}
	return p.prepare()
}

// Retry begins a round with a higher ballot.
func (p *Proposer) Retry() Step {
	if p.phase == phaseDone {
		return Step{Done: true}
	}
	return p.prepare()
}

// Proposed tells whether an accept of the own intent may be on its way.
func (p *Proposer) Proposed() bool { return p.proposed }

// Result gives the verdict and record after Done.
func (p *Proposer) Result() (Verdict, Record) { return p.verdict, p.record }

// Reply takes the reply of the replica at index from to request q.
func (p *Proposer) Reply(from int, q Request, r Reply) Step {
	p.highest = max(p.highest, p.ofEpoch(r.Promised))
	// Lookups have no ballot, so the epoch is compared too: a reply of an
	// earlier epoch comes from another set of replicas.
	current := q.Epoch == p.circumstances.Epoch && q.Ballot == p.ballot && q.Action == p.action()
	if !current || p.answered[from] {
		return Step{}
	}
	p.answered[from] = true
	if r.Status != ReplyOK {
		return p.fail()
	}
	p.oks = append(p.oks, r.Held)
	if len(p.oks) < p.quorum() {
		return Step{}
	}
	switch p.phase {
	case phaseRead:
		return p.looked()
	case phasePrepare:
		return p.prepared()
	case phaseSpread:
		return p.done(VerdictRecorded, p.held)
	}
	return p.decided()
}

// Timeout gives up the present phase.
func (p *Proposer) Timeout() Step {
	switch p.phase {
	case phaseDone:
		return Step{Done: true}
	case phaseFast:
		return p.prepare()
	}
	return Step{Retry: true}
}

func (p *Proposer) ofEpoch(b Ballot) uint64 {
	if b.Epoch() != p.circumstances.Epoch {
		return 0
	}
	return b.Round
}

func (p *Proposer) action() Action {
	switch p.phase {
	case phaseRead:
		return ActionLookup
	case phasePrepare:
		return ActionPrepare
	case phaseFast, phaseAccept:
		return ActionAccept
	case phaseSpread:
		return ActionFinish
	}
	return ActionUnset
}

func (p *Proposer) quorum() int {
	if p.phase == phaseFast {
		return p.circumstances.Replicas
	}
	return p.circumstances.majority()
}

func (p *Proposer) fail() Step {
	p.failures++
	if p.circumstances.Replicas-p.failures >= p.quorum() {
		return Step{}
	}
	if p.phase == phaseFast {
		return p.prepare()
	}
	return Step{Retry: true}
}

func (p *Proposer) prepare() Step {
	p.phase = phasePrepare
	p.highest++
	p.ballot = Ballot{Round: p.highest, Owner: p.self, Proposer: p.number}
	p.reset()
	return p.broadcast(ActionPrepare)
}

func (p *Proposer) propose(d Decision) Step {
	p.value = d
	p.proposed = p.proposed || d == p.own
	p.reset()
	return p.broadcast(ActionAccept)
}

func (p *Proposer) reset() {
	p.answered = make(map[int]bool, p.circumstances.Replicas)
	p.oks = p.oks[:0]
	p.failures = 0
}

func (p *Proposer) broadcast(a Action) Step {
	q := &Request{
		Action: a,
		Shard:  p.circumstances.Shard,
		Epoch:  p.circumstances.Epoch,
		Key:    p.key,
		Ballot: p.ballot,
	}
	if a == ActionAccept {
		q.Decision = p.value
		q.Endpoint = p.held.Endpoint
		if p.value == p.own {
			q.Endpoint = p.endpoint
		}
	}
	return Step{Broadcast: q}
}

// read asks without a promise first: a lookup of a key that nobody claimed
// must not take up a record.
func (p *Proposer) read() Step {
	p.phase = phaseRead
	p.ballot = Ballot{}
	p.reset()
	return p.broadcast(ActionLookup)
}

// looked answers from a majority that agrees, or else goes on to decide.
func (p *Proposer) looked() Step {
	first := p.oks[0]
	for _, h := range p.oks {
		if h.Accepted != first.Accepted || h.Decision != first.Decision || h.Ended() != first.Ended() {
			return p.prepare()
		}
	}
	switch {
	case !first.Found() && p.circumstances.HistoryLost:
		return p.done(VerdictUnknown, Held{})
	case !first.Found():
		return p.done(VerdictUnset, Held{})
	case first.Ended():
		return p.done(VerdictRecorded, first)
	case first.Accepted.Fast(), first.Decision.Kind == DecisionTombstone, p.circumstances.HistoryLost:
		return p.prepare()
	}
	p.value = first.Decision
	p.held = first
	return p.decided()
}

// prepared chooses what to propose, or answers where that needs no decision.
func (p *Proposer) prepared() Step {
	c := choose(p.oks)
	if c.held.Ended() {
		return p.ended(c.held)
	}
	other := c.held.Decision.Kind == DecisionIntent && c.held.Decision != p.own
	if other && p.circumstances.Alive(c.held.Decision.Owner) && (p.purpose == PurposeResolve || p.circumstances.HistoryLost) {
		return p.done(VerdictInFlight, c.held)
	}
	if p.circumstances.HistoryLost {
		return p.done(VerdictUnknown, c.held)
	}
	// Another's intent is proposed before "in flight" is said. Were a claim to
	// give up on sight of an undecided one, two claims could give up for each
	// other: nobody would run the request, and repeats would be told "in
	// flight" for as long as both owners live.
	switch {
	case c.bound, p.purpose == PurposeResolve && c.held.Found():
		p.held = c.held
		return p.accept(c.held.Decision)
	case p.purpose == PurposeResolve:
		return p.done(VerdictUnset, Held{})
	}
	return p.accept(p.wanted())
}

// wanted is what the proposer decides where nothing binds it.
func (p *Proposer) wanted() Decision {
	switch p.purpose {
	case PurposeForbid:
		return tombstone()
	case PurposeSeal:
		return moved()
	}
	return p.own
}

// ended answers with a recorded outcome. When some of the majority lack it,
// it is spread to a majority first: else a later repeat, reading through other
// replicas, would be told less than this one.
func (p *Proposer) ended(h Held) Step {
	for _, o := range p.oks {
		if !o.Ended() {
			return p.spread(h)
		}
	}
	return p.done(VerdictRecorded, h)
}

func (p *Proposer) spread(h Held) Step {
	p.phase = phaseSpread
	p.held = h
	p.reset()
	q := finishRequest(p.circumstances, p.key, h)
	q.Ballot = p.ballot
	return Step{Broadcast: &q}
}

func (p *Proposer) accept(d Decision) Step {
	p.phase = phaseAccept
	return p.propose(d)
}

// tombstoneTrust is the part of a record's life in which a tombstone found
// earlier still means "not run". Replicas drop a record at slightly different
// times; in the rest of its life one may hold a tombstone while the two others
// have dropped theirs and decided a new intent.
const tombstoneTrust = 0.8

func (p *Proposer) decided() Step {
	switch {
	case p.value.Kind == DecisionMoved:
		return p.done(VerdictMoved, Held{Decision: p.value})
	case p.value.Kind == DecisionTombstone && p.held.Age.Seconds() > tombstoneTrust*p.circumstances.RecordLife.Seconds():
		return p.done(VerdictUnknown, p.held)
	case p.value.Kind == DecisionTombstone:
		return p.done(VerdictNotRun, Held{Decision: p.value})
	case p.value == p.own && p.purpose == PurposeClaim:
		return p.done(VerdictRun, Held{Decision: p.own, Endpoint: p.endpoint})
	case p.circumstances.Alive(p.value.Owner):
		return p.done(VerdictInFlight, p.held)
	}
	return p.done(VerdictUnknown, p.held)
}

func (p *Proposer) done(v Verdict, h Held) Step {
	p.phase = phaseDone
	p.verdict = v
	p.record = recordOf(v, h)
	return Step{Done: true}
}

func recordOf(v Verdict, h Held) Record {
	return Record{
		Outcome:    outcomeOf(v, h),
		Owner:      h.Decision.Owner,
		Attempt:    h.Decision.Attempt,
		Endpoint:   h.Endpoint,
		StatusCode: int(h.Status),
		Age:        h.Age,
	}
}

func outcomeOf(v Verdict, h Held) pb.OutcomeKind {
	switch v {
	case VerdictRecorded:
		return h.Outcome
	case VerdictRun, VerdictInFlight:
		return pb.OutcomeKind_OUTCOME_KIND_IN_FLIGHT
	case VerdictNotRun:
		return pb.OutcomeKind_OUTCOME_KIND_NOT_RUN
	case VerdictUnknown, VerdictMoved:
		return pb.OutcomeKind_OUTCOME_KIND_UNKNOWN
	}
	return pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED
}
