package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// sendMode is how a leader sends entries to one member.
type sendMode int

const (
	// probing: the point where the logs agree is not known; one message at
	// a time looks for it.
	probing sendMode = iota
	// replicating: entries are sent without waiting, up to MaxInflight.
	replicating
	// sendingSnapshot: the member needs entries that were dropped.
	sendingSnapshot
)

// progress is a leader's knowledge of one member.
type progress struct {
	match    uint64 // last index known to be persisted there
	next     uint64 // next index to send
	mode     sendMode
	inflight []uint64 // last indexes of unanswered appends, ascending
	paused   bool     // probing: one message is under way
	sentAt   time.Time
	told     uint64    // commit index last sent
	contact  time.Time // last answer in this term
	answered bool      // contact is that of an answer, not of the election
	round    uint64    // newest heartbeat round answered
	// snapshot is the one under way; it is kept until it arrived whole, also
	// when a newer one is taken meanwhile.
	snapshot       *pb.Snapshot
	snapshotOffset uint64 // bytes the member holds
}

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.inflight = p.inflight[:0]
	p.paused = false
	p.snapshot, p.snapshotOffset = nil, 0
}

// acknowledged takes in that all up to index is persisted at the member; it
// tells whether this was news.
func (p *progress) acknowledged(index uint64) bool {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}
