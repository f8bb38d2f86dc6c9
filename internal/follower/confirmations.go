package follower

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/relay"
)

// word says that no version above one was confirmed at a moment.
type word struct {
	version int64
	at      time.Duration // of Options.Uptime
}

// confirmations are what members said of the newest version.
type confirmations struct {
	current *relay.Confirmation // of the version in force; nil before the first
	version int64               // in force
	later   []word              // on versions that are not in force yet, oldest first
}

// mostLater bounds the words kept on versions that are on their way.
const mostLater = 64

// told takes in a word.
func (c *confirmations) told(w word) {
	switch {
	case c.current != nil && w.version <= c.version:
		c.current.Raise(w.at)
	case len(c.later) > 0 && c.later[len(c.later)-1].version == w.version:
		last := &c.later[len(c.later)-1]
		last.at = max(last.at, w.at)
	case len(c.later) < mostLater:
		c.later = append(c.later, w)
	}
}

// inForce turns to another version: whatever was said of the one before holds for it,
// as it is newer, and what was said of itself.
func (c *confirmations) inForce(version int64) {
	before := c.current
	c.current, c.version = &relay.Confirmation{}, version
	if before != nil {
		c.current.Raise(before.At())
	}
	for _, w := range c.later {
		if w.version <= version {
			c.current.Raise(w.at)
		}
	}
	c.later = slices.DeleteFunc(c.later, func(w word) bool { return w.version <= version })
}

// confirm takes in what an answer says of the newest version. The member knew it at
// some moment after the question was asked, and its knowledge was as old as it says:
// counted from the question, nothing that held it up on its way makes it younger.
func (f *Follower) confirm(asked time.Duration, request *pb.FollowRequest, reply *pb.FollowReply) {
	if reply.AgeUs == 0 {
		return // the member has no word of a leader yet
	}
	w := word{version: request.DocumentVersion, at: asked - time.Duration(reply.AgeUs)*time.Microsecond}
	if reply.Outline != nil {
		w.version = reply.Outline.Version
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.words.told(w)
}
