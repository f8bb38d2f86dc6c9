package outcome

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var testStart = time.Unix(1_000_000, 0)

func numberedKey(n int) Key { return Key{0: byte(n), 1: byte(n >> 8), 2: byte(n >> 16)} }

func classic(round uint64) Ballot {
	return Ballot{Round: 1<<roundBits + round, Owner: fleet.Owner{Instance: "a", Incarnation: 1}, Proposer: 1}
}

func TestAcceptor(t *testing.T) {
	mine := intentOf("attempt-1", fleet.Owner{Instance: "a", Incarnation: 1})
	other := intentOf("attempt-2", fleet.Owner{Instance: "b", Incarnation: 1})
	completed := StoredRecord{Decision: mine, Outcome: pb.OutcomeKind_OUTCOME_KIND_COMPLETED}
	failed := StoredRecord{Decision: mine, Outcome: pb.OutcomeKind_OUTCOME_KIND_FAILED}
	prepare := func(b Ballot) func(*Acceptor) Reply {
		return func(a *Acceptor) Reply { return a.Prepare(testStart, Key{}, b) }
	}
	accept := func(b Ballot, d Decision) func(*Acceptor) Reply {
		return func(a *Acceptor) Reply { return a.Accept(testStart, Key{}, b, d, "bank-1") }
	}
	finish := func(h StoredRecord) func(*Acceptor) Reply {
		return func(a *Acceptor) Reply { return a.Finish(testStart, Key{}, h) }
	}
	fast := fastBallot(1)
	cases := map[string]struct {
		steps []func(*Acceptor) Reply
		want  ReplyStatus // of the last step
		holds Decision    // after it
	}{
		"accept without prepare":         {steps: []func(*Acceptor) Reply{accept(fast, mine)}, want: ReplyOK, holds: mine},
		"fast accept repeated":           {steps: []func(*Acceptor) Reply{accept(fast, mine), accept(fast, mine)}, want: ReplyOK, holds: mine},
		"second fast value":              {steps: []func(*Acceptor) Reply{accept(fast, mine), accept(fast, other)}, want: ReplyRefused, holds: mine},
		"fast accept after a promise":    {steps: []func(*Acceptor) Reply{prepare(classic(1)), accept(fast, mine)}, want: ReplyRefused},
		"fast accept of a later epoch":   {steps: []func(*Acceptor) Reply{accept(classic(1), mine), accept(fastBallot(2), other)}, want: ReplyRefused, holds: mine},
		"prepare below the promise":      {steps: []func(*Acceptor) Reply{prepare(classic(2)), prepare(classic(1))}, want: ReplyRefused},
		"accept below the promise":       {steps: []func(*Acceptor) Reply{prepare(classic(2)), accept(classic(1), mine)}, want: ReplyRefused},
		"higher ballot takes over":       {steps: []func(*Acceptor) Reply{accept(classic(1), mine), accept(classic(2), other)}, want: ReplyOK, holds: other},
		"finished stands":                {steps: []func(*Acceptor) Reply{finish(completed), accept(classic(2), other)}, want: ReplyRefused, holds: mine},
		"finish of a decided intent":     {steps: []func(*Acceptor) Reply{accept(classic(1), other), finish(completed)}, want: ReplyOK, holds: mine},
		"the first outcome stays, later": {steps: []func(*Acceptor) Reply{finish(completed), finish(failed)}, want: ReplyOK, holds: mine},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := NewAcceptor(DefaultLimits)
			var last Reply
			for _, step := range c.steps {
				last = step(a)
			}
			assert.Equal(t, last.Status, c.want)
			held := a.Lookup(testStart, Key{}).Record
			assert.Equal(t, held.Decision, c.holds)
			if held.HasOutcome() {
				assert.Equal(t, held.Outcome, pb.OutcomeKind_OUTCOME_KIND_COMPLETED)
			}
		})
	}
}

// A flood of keys fills a shard. A new key must be refused, since dropping a live
// record would let its request run again. Once records have expired, new keys are
// accepted again.
func TestRecordsAreBoundedAndAge(t *testing.T) {
	limits := Limits{RecordLife: time.Minute, MaxRecords: 100}
	a := NewAcceptor(limits)
	d := intentOf("attempt-1", fleet.Owner{Instance: "a"})
	for n := range 500 {
		want := ReplyOK
		if n >= 100 {
			want = ReplyFull
		}
		assert.Equal(t, a.Accept(testStart, numberedKey(n), fastBallot(1), d, "").Status, want)
	}
	later := testStart.Add(30 * time.Second)
	assert.Equal(t, a.Finish(later, numberedKey(0), StoredRecord{Decision: d, Outcome: pb.OutcomeKind_OUTCOME_KIND_COMPLETED}).Status, ReplyOK)
	end := testStart.Add(time.Minute)
	assert.Assert(t, !a.Lookup(end, numberedKey(1)).Record.HasDecision())
	assert.Assert(t, a.Lookup(end, numberedKey(0)).Record.HasOutcome())
	assert.Equal(t, a.Accept(end, numberedKey(400), fastBallot(1), d, "").Status, ReplyOK)
	for range 10 {
		a.Expire(end, 50)
	}
	assert.Equal(t, a.Len(), 2)
	assert.Assert(t, len(a.expiryQueue) <= limits.MaxRecords)
}

// One replica holds a tombstone near the end of its life, while the two others have
// dropped theirs and may have decided a new attempt since. The caller must be told
// "unknown", not "not run".
func TestOldTombstoneIsNotTrusted(t *testing.T) {
	c := GroupView{Epoch: 1, Replicas: 1, RecordLife: 10 * time.Minute, InView: func(fleet.Owner) bool { return true }}
	for age, want := range map[time.Duration]Verdict{time.Minute: VerdictNotRun, 9 * time.Minute: VerdictUnknown} {
		a := NewAcceptor(DefaultLimits)
		a.Accept(testStart, Key{}, classic(1), tombstone(), "")
		p := NewProposer(PurposeClaim, Claim{Attempt: "attempt-2"}, fleet.Owner{Instance: "b"}, 1)
		now := testStart.Add(age)
		step := p.Start(c)
		step = p.HandleReply(0, *step.Broadcast, a.Prepare(now, Key{}, step.Broadcast.Ballot))
		q := *step.Broadcast
		p.HandleReply(0, q, a.Accept(now, Key{}, q.Ballot, q.Decision, ""))
		verdict, _ := p.Result()
		assert.Equal(t, verdict, want)
	}
}

// A reply of an earlier epoch comes from a replica that may have left the group. It
// must not count towards the majority of the current epoch.
func TestReplyOfEarlierEpoch(t *testing.T) {
	p := NewProposer(PurposeResolve, Claim{}, fleet.Owner{Instance: "a"}, 1)
	old := p.Start(GroupView{Epoch: 1, Replicas: 3})
	p.Start(GroupView{Epoch: 2, Replicas: 3})
	for from := range 3 {
		assert.DeepEqual(t, p.HandleReply(from, *old.Broadcast, Reply{Status: ReplyOK}), Step{})
	}
}

// Regulated data must not be kept in the ledger. A record has no field that could hold
// a request body: only short names, numbers and times.
func TestRecordHasNoBody(t *testing.T) {
	var names []string
	var walk func(reflect.Type)
	walk = func(typ reflect.Type) {
		for n := range typ.NumField() {
			field := typ.Field(n)
			switch {
			case field.Type == reflect.TypeFor[time.Time]():
			case field.Type.Kind() == reflect.Struct:
				walk(field.Type)
			case field.Type.Kind() == reflect.String:
				names = append(names, field.Type.Name())
			default:
				assert.Assert(t, field.Type.Size() <= 8 && field.Type.Kind() != reflect.Pointer, "field %s", field.Name)
			}
		}
	}
	walk(reflect.TypeFor[record]())
	for _, name := range names {
		assert.Assert(t, name == "InstanceID" || name == "AttemptID" || name == "EndpointID", "a field of type %s", name)
	}
}
