package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestLeaseCurrent(t *testing.T) {
	const second = time.Second
	fresh := func() *lease { return &lease{settingsLease: 3 * second} }
	cases := []struct {
		name    string
		lease   func(*lease)
		at      time.Duration
		current bool
	}{
		{"nothing granted", func(*lease) {}, 0, false},
		{"granted, state not there yet", func(l *lease) { l.grant(at(0), at(0), 2*second, 5) }, 0, false},
		{"granted and applied", func(l *lease) { l.grant(at(0), at(0), 2*second, 5); l.apply(at(0), 5) }, second, true},
		{"instance lease over", func(l *lease) { l.grant(at(0), at(0), 2*second, 5); l.apply(at(0), 5) }, 2 * second, false},
		{"answer came late: counts from the send", func(l *lease) { l.apply(at(0), 5); l.grant(at(0), at(1900*time.Millisecond), 2*second, 5) }, 2100 * time.Millisecond, false},
		{"older answer after a newer one", func(l *lease) {
			l.apply(at(0), 5)
			l.grant(at(second), at(second), 2*second, 5)
			l.grant(at(0), at(second), 2*second, 5)
		}, 2500 * time.Millisecond, true},
		{"renewed, but the state lags", func(l *lease) {
			l.apply(at(0), 5)
			l.grant(at(0), at(0), 2*second, 5)
			for n := range 4 {
				l.grant(at(time.Duration(n)*second), at(time.Duration(n)*second), 2*second, 6)
			}
		}, 3 * second, false},
		{"the state caught up", func(l *lease) {
			l.grant(at(0), at(0), 2*second, 5)
			l.grant(at(2*second), at(2*second), 2*second, 6)
			l.apply(at(3*second), 6)
		}, 3500 * time.Millisecond, true},
		{"fenced", func(l *lease) { l.grant(at(0), at(0), 2*second, 0); l.fenced = true }, 0, false},
		{"leaving", func(l *lease) { l.grant(at(0), at(0), 2*second, 0); l.leaving = true }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := fresh()
			c.lease(l)
			assert.Equal(t, l.current(at(c.at)), c.current)
		})
	}
}

func TestUnconfirmedRenewalsAreBounded(t *testing.T) {
	l := &lease{settingsLease: time.Hour}
	for n := range 10 * maxUnconfirmed {
		l.grant(at(time.Duration(n)), at(0), time.Second, uint64(n+1))
	}
	assert.Equal(t, len(l.unconfirmed), maxUnconfirmed)
	assert.Assert(t, l.lagging(at(2*time.Hour)))
	l.apply(at(0), 1<<40)
	assert.Equal(t, len(l.unconfirmed), 0)
	assert.Assert(t, !l.lagging(at(2*time.Hour)))
}

// A process is stopped by SIGSTOP, or its machine is suspended, for longer than
// its lease. When it resumes, Current must return false at once, even if the
// caller read the clock before the stop.
func TestFrozenAgentIsNotCurrent(t *testing.T) {
	now := at(0)
	a := NewAgent(Options{Now: func() time.Time { return now }})
	a.lease.grant(now, now, 2*time.Second, 0)
	asked := now
	assert.Assert(t, a.Current(asked))
	now = at(10 * time.Second)
	assert.Assert(t, !a.Current(asked))
	assert.Assert(t, !a.Current(now))
}

// An instance is stopped right after it joined. Other entries may already include
// it in their address lists, while its own state doesn't contain it yet. If Joined
// used the state, the stop would skip the drain and refuse those callers.
func TestJoinedAfterFirstGrant(t *testing.T) {
	a := NewAgent(Options{Build: fakeBuild})
	assert.Assert(t, !a.Joined())
	assert.NilError(t, a.handleRenewalReply(time.Now(), &pb.RenewLeaseReply{Refusal: "not-leader"}))
	assert.Assert(t, !a.Joined())
	assert.NilError(t, a.handleRenewalReply(time.Now(), &pb.RenewLeaseReply{Granted: true, LeaseMs: 1000, CommitIndex: 9}))
	assert.Assert(t, a.Joined())
	assert.Equal(t, len(a.State().View.Instances), 0)
}
