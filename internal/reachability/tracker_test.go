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
	b.Failed(at(300), Unacknowledged)
	assert.Assert(t, tracker.CutOff())
	assert.Equal(t, c.Loss(), Unanswered, "nothing was heard since")
	assert.Equal(t, tracker.Link("d:1").Loss(), Unanswered, "never used")

	c.Heard(at(400))
	assert.Assert(t, !tracker.CutOff())
	assert.Equal(t, c.Loss(), NotLost)
	assert.Equal(t, a.Loss(), Unanswered, "still lost itself")
	a.Opened(at(500))
	b.Heard(at(600))
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

// Guards against taking new connections that are refused for refused again because open ones
// still bring bytes, and against leaving these unused.
func TestBytesDontEndARefusal(t *testing.T) {
	l := New(Options{}).Link("a:1")
	l.Failed(at(0), Refused)
	l.Heard(at(10))
	assert.Equal(t, l.Loss(), Refused)
	l.Opened(at(20))
	assert.Equal(t, l.Loss(), NotLost)
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
