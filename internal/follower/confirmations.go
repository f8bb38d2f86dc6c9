package follower

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
)

// confirmation states that no version above version was confirmed at a time.
type confirmation struct {
	version int64
	at      time.Duration // by Options.Uptime
}

// confirmations collects what members report about the newest version.
type confirmations struct {
	current *relay.Confirmation // of the version in force; nil before the first version
	version int64               // version in force
	pending []confirmation      // of versions that are not in force yet, oldest first
}

// maxPendingConfirmations bounds the confirmations kept of versions that are not in force
// yet.
const maxPendingConfirmations = 64

// record adds a confirmation.
func (c *confirmations) record(conf confirmation) {
	switch {
	case c.current != nil && conf.version <= c.version:
		c.current.Advance(conf.at)
	case len(c.pending) > 0 && c.pending[len(c.pending)-1].version == conf.version:
		last := &c.pending[len(c.pending)-1]
		last.at = max(last.at, conf.at)
	case len(c.pending) < maxPendingConfirmations:
		c.pending = append(c.pending, conf)
	}
}

// switchTo starts the confirmations of a version that comes into force. They include those
// of the previous version, which also hold for a newer one, and the pending ones up to its
// own version.
func (c *confirmations) switchTo(version int64) {
	previous := c.current
	c.current, c.version = &relay.Confirmation{}, version
	if previous != nil {
		c.current.Advance(previous.At())
	}
	for _, conf := range c.pending {
		if conf.version <= version {
			c.current.Advance(conf.at)
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(conf confirmation) bool { return conf.version <= version })
}

// recordConfirmation records what a reply says about the newest version. The member's
// view had the reported age at some time after the request was sent; counting that age
// from the request ensures that no delay on the way makes the view look younger.
func (f *Follower) recordConfirmation(sentAt time.Duration, request *pb.FollowRequest, reply *pb.FollowReply) {
	if reply.AgeUs == 0 {
		return // the member has not had a leader's reply yet
	}
	conf := confirmation{version: request.DocumentVersion, at: sentAt - time.Duration(reply.AgeUs)*time.Microsecond}
	if reply.Outline != nil {
		conf.version = reply.Outline.Version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.record(conf)
}
