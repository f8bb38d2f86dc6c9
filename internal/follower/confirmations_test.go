package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// A key is revoked by a version that this entry knows of but has not received.
// Confirmations of that version must not confirm the one in force; they count once it is
// in force, as do all confirmations of older versions.
func TestConfirmations(t *testing.T) {
	var c confirmations
	c.record(confirmation{version: 3, at: 10})
	c.record(confirmation{version: 3, at: 20})
	c.record(confirmation{version: 5, at: 30})
	assert.Equal(t, len(c.pending), 2)

	c.switchTo(3)
	third := c.current
	assert.Equal(t, third.At(), time.Duration(20))
	c.record(confirmation{version: 2, at: 25}) // a member that lags behind and was current
	assert.Equal(t, third.At(), time.Duration(25))
	c.record(confirmation{version: 5, at: 40})
	assert.Equal(t, third.At(), time.Duration(25))

	c.switchTo(4)
	assert.Equal(t, c.current.At(), time.Duration(25))
	c.switchTo(6)
	assert.Equal(t, c.current.At(), time.Duration(40))
	assert.Equal(t, third.At(), time.Duration(25))
	assert.Equal(t, len(c.pending), 0)
	c.record(confirmation{version: 6, at: 35})
	assert.Equal(t, c.current.At(), time.Duration(40))
}

// Confirmations of a version that never arrives must not pile up while the entry can't
// get its blocks.
func TestConfirmationsAreBounded(t *testing.T) {
	var c confirmations
	for n := range 10 * maxPendingConfirmations {
		c.record(confirmation{version: int64(n), at: time.Duration(n)})
	}
	assert.Equal(t, len(c.pending), maxPendingConfirmations)
}

// A reply is delayed for seconds by a suspended machine or an interrupted link, and
// contains the age of the member's view when it was sent. The age is counted from the
// request, so that the delay doesn't make the view look younger.
func TestConfirmationTimeCountsFromTheRequest(t *testing.T) {
	f := New(Options{Dialer: (&testkit.Network{}).Dialer("entry"), Uptime: uptime})
	f.confirmations.switchTo(4)
	f.recordConfirmation(time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{AgeUs: 250_000})
	assert.Equal(t, f.confirmations.current.At(), time.Minute-250*time.Millisecond)

	f.recordConfirmation(2*time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{AgeUs: 1, Outline: &pb.Outline{Version: 5}})
	f.recordConfirmation(2*time.Minute, &pb.FollowRequest{DocumentVersion: 5}, &pb.FollowReply{AgeUs: 1})
	f.recordConfirmation(2*time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{}) // no reply of a leader
	assert.Equal(t, f.confirmations.current.At(), time.Minute-250*time.Millisecond)
}
