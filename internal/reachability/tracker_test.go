package reachability

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var began = time.Now()

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

func TestLossOfDial(t *testing.T) {
	for _, test := range []struct {
		err  error
		want Loss
	}{
		{nil, NotLost},
		{context.Canceled, NotLost},
		{context.DeadlineExceeded, Unanswered},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, Unanswered},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, Unanswered},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, Refused},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}, Refused},
		{errors.New("no buffer space"), NotLost},
	} {
		assert.Equal(t, LossOfDial(test.err), test.want, "%v", test.err)
	}
}

// Guards against taking one endpoint that has crashed or lost power for the loss of all links.
func TestOneLostLinkIsNoCut(t *testing.T) {
	tracker := New(Options{})
	a, b := tracker.Link("a:1"), tracker.Link("b:1")
	b.Opened(at(0))
	a.Failed(at(100), Unanswered)
	a.Failed(at(200), Unanswered)
	assert.Equal(t, a.Loss(), Unanswered)
	assert.Equal(t, b.Loss(), NotLost)
	assert.Assert(t, !tracker.CutOff())
}

// Guards against a request that is lost on each of the links, since each is found lost alone.
func TestLossOfSeveralLinksIsACut(t *testing.T) {
	tracker := New(Options{})
	a, b, c := tracker.Link("a:1"), tracker.Link("b:1"), tracker.Link("c:1")
	c.Opened(at(0))
	a.Failed(at(100), Unanswered)
	b.Failed(at(300), Unanswered)
	assert.Assert(t, tracker.CutOff())
	assert.Equal(t, c.Loss(), Unanswered, "nothing was heard since")
	assert.Equal(t, tracker.Link("d:1").Loss(), Unanswered, "never used")

	c.Heard(at(400))
	assert.Assert(t, !tracker.CutOff())
	assert.Equal(t, c.Loss(), NotLost)
	assert.Equal(t, a.Loss(), Unanswered, "still lost itself")
	a.Opened(at(500))
	b.Opened(at(600))
	assert.Equal(t, a.Loss(), NotLost)
	assert.Equal(t, b.Loss(), NotLost)
	assert.Assert(t, !tracker.troubled.Load())
}

// Guards against a cut that is seen where only some endpoints are lost, each for a long time.
func TestLostLinksBesideWorkingOnes(t *testing.T) {
	tracker := New(Options{})
	a, b, c := tracker.Link("a:1"), tracker.Link("b:1"), tracker.Link("c:1")
	for n := range 10 {
		a.Failed(at(1000*n), Unanswered)
		c.Heard(at(1000*n + 300))
		b.Failed(at(1000*n+500), Refused)
		assert.Assert(t, !tracker.CutOff())
		c.Heard(at(1000*n + 600))
	}
	assert.Equal(t, c.Loss(), NotLost)
}

// Guards against taking a link for whole since open connections still bring bytes while new ones
// fail, and against leaving these open ones unused.
func TestOpenConnectionsLiveOn(t *testing.T) {
	for _, loss := range []Loss{Refused, Unanswered} {
		l := New(Options{}).Link("a:1")
		assert.Assert(t, l.CarriesOpen())
		l.Failed(at(0), loss)
		assert.Equal(t, l.CarriesOpen(), loss == Refused, "nothing was heard since")
		l.Heard(at(10))
		assert.Equal(t, l.Loss(), loss)
		assert.Assert(t, l.CarriesOpen())
		l.Opened(at(20))
		assert.Equal(t, l.Loss(), NotLost)
	}
}

// Guards against a request on an open connection of an entry that is cut off, over a link that
// is not known to be lost itself.
func TestOpenConnectionsOfACut(t *testing.T) {
	tracker := New(Options{})
	a, b, c := tracker.Link("a:1"), tracker.Link("b:1"), tracker.Link("c:1")
	c.Opened(at(0))
	a.Failed(at(100), Unanswered)
	b.Failed(at(200), Unanswered)
	assert.Assert(t, tracker.CutOff())
	assert.Assert(t, !c.CarriesOpen())
	c.Heard(at(300))
	assert.Assert(t, c.CarriesOpen())
}

// Guards against taking an endpoint that has ended for one that runs on: its connections stay
// open here if the link is lost both ways.
func TestEndsOverALostLink(t *testing.T) {
	tracker := New(Options{})
	a, b, c := tracker.Link("a:1"), tracker.Link("b:1"), tracker.Link("c:1")
	for _, l := range []*Link{a, b, c} {
		l.Opened(at(0))
		assert.Assert(t, l.ShowsEnds())
	}
	a.Failed(at(100), Unanswered)
	assert.Assert(t, !a.ShowsEnds())
	a.Heard(at(200))
	assert.Assert(t, a.ShowsEnds(), "open connections live on")
	b.Failed(at(300), Refused)
	assert.Assert(t, b.ShowsEnds())
	c.Failed(at(400), Refused)
	assert.Assert(t, tracker.CutOff())
	for _, l := range []*Link{a, b, c} {
		assert.Assert(t, !l.ShowsEnds())
	}
	b.Heard(at(500))
	assert.Assert(t, b.ShowsEnds())
	b.Failed(at(600), Unanswered)
	assert.Assert(t, !b.ShowsEnds(), "nothing was heard since new connections got no answer")
	assert.Assert(t, !b.CarriesOpen())
}

func TestUnusedLinksAreForgotten(t *testing.T) {
	tracker := New(Options{})
	tracker.Link("a:1").Failed(time.Now(), Unanswered)
	tracker.Sweep(time.Now())
	assert.Equal(t, len(tracker.links), 1)
	tracker.Sweep(time.Now().Add(2 * unusedTimeout))
	assert.Equal(t, len(tracker.links), 0)
	assert.Equal(t, tracker.lost, 0)
}
