package follower

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// The intervals of a Follower.
const (
	// followWait is how long a member may hold a question without news.
	followWait = 500 * time.Millisecond
	// followSilence is after how long without a byte a question is given up: a
	// member that was cut off is left within 0.9 s, and the other question goes on
	// meanwhile.
	followSilence = followWait + 400*time.Millisecond
	// firstSilence is followSilence while there is no picture at all: after all
	// instances lost power, members come back one after the other, and one that
	// is still dark must not keep the entry from asking one that is up. The
	// answer is due at once, as no wait is asked for.
	firstSilence = 200 * time.Millisecond
	// blocksSilence is the same for blocks, which a member answers at once: two
	// retransmissions of a lost packet take less.
	blocksSilence = 400 * time.Millisecond
	// turnPause is the wait before the next member is asked after a failure. It
	// grows by turnGrowth with each one, to longestTurn at most: hundreds of
	// entries that start with the fleet would else take all of the processor of
	// the few members they know, and the group would never be formed.
	turnPause   = 50 * time.Millisecond
	turnGrowth  = 1.15
	longestTurn = 500 * time.Millisecond
	// newsPause is the wait after news before the next question, for each entry
	// of the fleet, and at most longestNewsPause: while endpoints register by
	// the hundred, members would else answer each entry once for each of them.
	newsPause        = time.Millisecond
	longestNewsPause = 500 * time.Millisecond
	// ways is to how many members questions are open at a time.
	ways = 2
	// mostAsked is how many blocks are asked for at a time: some 64 KB
	// compressed, so that two members share the blocks of a start.
	mostAsked = 32
)

// Options tell a Follower what it works with.
type Options struct {
	Dialer  rpc.Dialer
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	// Seeds are the rpc addresses of control instances known at the start.
	Seeds []string
	// Decode reads a document as the operator sent it, given the one that was in
	// force before, which is nil for the first.
	Decode func(source []byte, before *routetable.Document) (*routetable.Document, error)
	// Self tells what is said of this entry with each question.
	Self func() *pb.EntryRecord
	// Uptime is the clock that confirmations count by; it goes on while the machine is
	// suspended.
	Uptime func() time.Duration
	// Senders, when set, is told by each member in touch how many entries may send to
	// endpoints, or did so a moment ago.
	Senders func(n int)
	// Crashes, when set, is told what members know of requests that crash endpoints.
	Crashes Crashes
}

// Crashes reads members' findings on requests that crash endpoints.
type Crashes interface {
	// Mark is how far those of a member were read.
	Mark(member string) *pb.CrashMark
	Take(member string, news *pb.CrashNews)
}
