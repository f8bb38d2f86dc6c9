package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// A key is taken away by a version that this entry knows of and has not got yet. Words
// on that version must not make the one in force look confirmed; once it is in force
// they count, and so does whatever was said of older ones.
func TestConfirmations(t *testing.T) {
	var c confirmations
	c.told(word{version: 3, at: 10})
	c.told(word{version: 3, at: 20})
	c.told(word{version: 5, at: 30})
	assert.Equal(t, len(c.later), 2)

	c.inForce(3)
	third := c.current
	assert.Equal(t, third.At(), time.Duration(20))
	c.told(word{version: 2, at: 25}) // a member that lags behind, and was current
	assert.Equal(t, third.At(), time.Duration(25))
	c.told(word{version: 5, at: 40})
	assert.Equal(t, third.At(), time.Duration(25))

	c.inForce(4)
	assert.Equal(t, c.current.At(), time.Duration(25))
	c.inForce(6)
	assert.Equal(t, c.current.At(), time.Duration(40))
	assert.Equal(t, third.At(), time.Duration(25))
	assert.Equal(t, len(c.later), 0)
	c.told(word{version: 6, at: 35})
	assert.Equal(t, c.current.At(), time.Duration(40))
}

// Words on a version that never arrives pile up for as long as its entry is cut off
// from the blocks.
func TestConfirmationsAreBounded(t *testing.T) {
	var c confirmations
	for n := range 10 * mostLater {
		c.told(word{version: int64(n), at: time.Duration(n)})
	}
	assert.Equal(t, len(c.later), mostLater)
}

// An answer lies for seconds at a machine that stands still, or on a link that is cut,
// and says how old its word was when it was written. What it proves is counted from the
// question, so that the time on its way makes it no younger.
func TestWordCountsFromTheQuestion(t *testing.T) {
	f := New(Options{Dialer: (&testkit.Network{}).Dialer("entry"), Uptime: uptime})
	f.words.inForce(4)
	f.confirm(time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{AgeUs: 250_000})
	assert.Equal(t, f.words.current.At(), time.Minute-250*time.Millisecond)

	f.confirm(2*time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{AgeUs: 1, Outline: &pb.Outline{Version: 5}})
	f.confirm(2*time.Minute, &pb.FollowRequest{DocumentVersion: 5}, &pb.FollowReply{AgeUs: 1})
	f.confirm(2*time.Minute, &pb.FollowRequest{DocumentVersion: 4}, &pb.FollowReply{}) // no word of a leader
	assert.Equal(t, f.words.current.At(), time.Minute-250*time.Millisecond)
}
