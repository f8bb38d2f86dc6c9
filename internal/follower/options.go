package follower

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Intervals, timeouts and limits of a Follower.
const (
	// followWait is how long a member may hold a poll while there are no changes.
	followWait = 500 * time.Millisecond
	// followIdleTimeout is how long a poll may go without receiving a byte: a member that
	// was cut off is left within 0.9 s, and the other poll continues meanwhile.
	followIdleTimeout = followWait + 400*time.Millisecond
	// firstFollowIdleTimeout replaces followIdleTimeout before there is a view: after all
	// instances lost power, members come back one after the other, and one that is still
	// down must not keep the entry from polling one that is up. The reply is due soon,
	// as the poll requests a wait of minRetryDelay only.
	firstFollowIdleTimeout = 200 * time.Millisecond
	// blocksIdleTimeout is the same for blocks, which a member sends at once; two
	// retransmissions of a lost packet take less.
	blocksIdleTimeout = 400 * time.Millisecond
	// minRetryDelay is the delay after a failure before the next member is polled. It
	// grows by retryBackoffFactor with each failure, up to maxRetryDelay: otherwise
	// hundreds of entries that start with the fleet would use up the processors of the
	// few members they know, and the group would never form.
	minRetryDelay      = 50 * time.Millisecond
	retryBackoffFactor = 1.15
	maxRetryDelay      = 500 * time.Millisecond
	// pollDelayPerEntry is the delay after a reply with changes before the next poll, for
	// each entry of the fleet, up to maxPollDelay: otherwise members would answer every
	// entry once for each of hundreds of endpoints that register together.
	pollDelayPerEntry = time.Millisecond
	maxPollDelay      = 500 * time.Millisecond
	// maxStartDelay limits startDelay: at that delay thousands of entries that start
	// together send each of the first members some hundred polls a second.
	maxStartDelay = 2 * time.Second
	// minNearBackoff and maxNearBackoff limit how long a member that failed isn't
	// preferred: after a restart it needs seconds to catch up.
	minNearBackoff = 2 * time.Second
	maxNearBackoff = 16 * time.Second
	// pollers is the number of members polled at the same time.
	pollers = 2
	// nearPoller is the poller that prefers members in the entry's zone and receives large
	// fleets, which are the most that an entry receives: traffic between zones is billed.
	// The other one polls any members, so that a cut around the zone delays no change.
	nearPoller = 0
	// maxLoggedRecords is how many changed endpoints of one reply are logged one by one.
	// The control instances log each change once; a line at each entry for each endpoint
	// of a starting fleet would take more processor time than the change itself.
	maxLoggedRecords = 32
	// maxBlocksPerRequest is how many blocks are requested at a time: some 64 KB
	// compressed, so that two members share the blocks of a first download.
	maxBlocksPerRequest = 32
)

// Options configure a Follower.
type Options struct {
	Dialer  rpc.Dialer
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	// Seeds are the RPC addresses of the control instances known at the start.
	Seeds []string
	// Decode decodes a document as the operator submitted it, given the document in force
	// before, which is nil for the first.
	Decode func(source []byte, before *routetable.Document) (*routetable.Document, error)
	// Self returns this entry's report, which each poll contains.
	Self func() *pb.EntryRecord
	// Uptime is the clock for confirmations; it must go on while the machine is
	// suspended.
	Uptime func() time.Duration
	// OnSenders, if set, is called for each reply of a member with a leader with the number
	// of entries that may send to endpoints, or did so a moment ago.
	OnSenders func(n int)
	// Crashes, if set, receives the members' findings on requests that crash endpoints.
	Crashes Crashes
}

// Crashes reads the members' findings on requests, and parts of prompts, that crash endpoints.
type Crashes interface {
	// Mark returns up to where the findings of a member were read.
	Mark(member string) *pb.CrashMark
	ApplyChanges(member string, news *pb.CrashNews)
	// PartMark returns up to where the findings of a member on parts were read.
	PartMark(member string) *pb.CrashMark
	ApplyPartChanges(member string, news *pb.PartNews)
}
