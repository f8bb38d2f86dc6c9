package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// sendMode is the way a leader sends entries to one member.
type sendMode int

const (
	// probing: the last matching index is unknown, and one message at a time
	// searches for it.
	probing sendMode = iota
	// replicating: entries are pipelined, up to MaxInflight messages.
	replicating
	// sendingSnapshot: the member needs entries that were compacted.
	sendingSnapshot
)

// progress is the replication state that a leader keeps for one member.
type progress struct {
	match       uint64 // last index known to be persisted by the member
	next        uint64 // next index to send
	mode        sendMode
	inflight    []uint64 // last index of each unacknowledged append, ascending
	paused      bool     // probing: one message is in flight
	sentAt      time.Time
	sentCommit  uint64    // commit index last sent
	lastContact time.Time // last answer; initially the time when tracking began
	answered    bool      // lastContact is the time of an answer
	round       uint64    // latest heartbeat round answered
	// snapshot is the one being sent. It is kept until it has arrived
	// completely, even if a newer one is taken meanwhile.
	snapshot       *pb.Snapshot
	snapshotOffset uint64 // bytes that the member has received
}

func (p *progress) probe() {
	p.mode = probing
	p.next = p.match + 1
	p.inflight = p.inflight[:0]
	p.paused = false
	p.snapshot, p.snapshotOffset = nil, 0
}

// recordAck records that the member has persisted all entries up to index. It
// reports whether match advanced.
func (p *progress) recordAck(index uint64) bool {
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

// blocked reports whether no append may be sent to the member now.
func (p *progress) blocked(maxInflight int) bool {
	switch p.mode {
	case probing:
		return p.paused
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}
