package consensus

import (
	"fmt"
	"time"
)

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	switch sim.random.IntN(10) {
	case 0, 1:
		if h.core != nil {
			sim.crash(h)
		}
	case 2:
		sim.crashAll()
	case 3:
		sim.loseDisk(h)
	case 4, 5:
		sim.freeze(h)
	case 6:
		sim.cutOff(h)
	case 7, 8:
		sim.cutOneWay(h)
	case 9:
		sim.changeMember(h)
	}
}

func (sim *simulation) crashAll() {
	for _, h := range sim.hosts {
		if h.core != nil {
			sim.crash(h)
		}
	}
}

// faultDuration returns a random duration of a fault, mostly around the election
// timeout.
func (sim *simulation) faultDuration() time.Duration {
	maxDuration := 2 * DefaultElectionTimeout
	if sim.random.IntN(4) == 0 {
		maxDuration *= 6
	}
	return time.Duration(sim.random.Int64N(int64(maxDuration)))
}

func (sim *simulation) freeze(h *host) {
	if h.core == nil || h.frozen {
		return
	}
	h.frozen = true
	incarnation := h.incarnation
	sim.after(sim.faultDuration(), func() {
		if h.incarnation != incarnation {
			return
		}
		h.frozen = false
		deferred := h.deferred
		h.deferred = nil
		for _, do := range deferred {
			do()
		}
	})
}

func (sim *simulation) cut(from, to string, length time.Duration) {
	sim.cuts[[2]string{from, to}] = true
	sim.after(length, func() { delete(sim.cuts, [2]string{from, to}) })
}

func (sim *simulation) cutOff(h *host) {
	length := sim.faultDuration()
	for _, other := range sim.hosts {
		sim.cut(h.name, other.name, length)
		sim.cut(other.name, h.name, length)
	}
}

// cutOneWay drops either the messages that h sends or those it receives, for all
// hosts or for one.
func (sim *simulation) cutOneWay(h *host) {
	length := sim.faultDuration()
	sends := sim.random.IntN(2) == 0
	only := sim.random.IntN(2) == 0
	for _, other := range sim.hosts {
		if sends {
			sim.cut(h.name, other.name, length)
		} else {
			sim.cut(other.name, h.name, length)
		}
		if only {
			return
		}
	}
}

// newestLeader returns the leader of the highest term, or nil.
func (sim *simulation) newestLeader() *host {
	var latest *host
	for _, h := range sim.hosts {
		if h.core != nil && h.core.IsLeader() && (latest == nil || h.core.term > latest.core.term) {
			latest = h
		}
	}
	return latest
}

// loseDisk replaces a host's disk by an empty one if the fault model allows it:
// in every membership that may be in effect, fewer than half of the voters have
// lost their disk.
func (sim *simulation) loseDisk(h *host) {
	if sim.invariants.committed[2] == nil || !sim.canLoseDisk(h) {
		return // until the first leader commits, only one disk holds the group
	}
	h.disksLost++
	h.core = nil
	h.incarnation++
	h.disk = &disk{id: fmt.Sprintf("%s.%d", h.name, h.disksLost)}
	sim.start(h)
}

func (sim *simulation) canLoseDisk(h *host) bool {
	for _, other := range sim.hosts {
		var log replicatedLog
		if other.core != nil {
			log = other.core.log
		} else {
			log = newLog(other.disk.state)
		}
		for _, m := range log.memberships {
			there := countVoters(m.membership, func(id string) bool { return id != h.disk.id && sim.diskPresent(id) })
			if voters(m.membership) > 0 && there < quorum(m.membership) {
				return false
			}
		}
	}
	return true
}

func (sim *simulation) diskPresent(diskID string) bool {
	for _, h := range sim.hosts {
		if h.disk.id == diskID {
			return true
		}
	}
	return false
}

// transferLeadership makes the leader transfer leadership, as at a planned stop.
func (sim *simulation) transferLeadership() {
	if leader := sim.newestLeader(); leader != nil {
		sim.run(leader, func(now time.Time) { _ = leader.core.TransferLeadership(now) })
	}
}

// changeMember adds h if it is no member, and otherwise removes it.
func (sim *simulation) changeMember(h *host) {
	leader := sim.newestLeader()
	if leader == nil {
		return
	}
	membership := leader.core.log.membership()
	isMember := find(membership, h.disk.id) != nil
	// Removing a member while disks are lost could exceed the allowed number of
	// lost disks; the leader doesn't notice a lost disk at once.
	if isMember && (voters(membership) <= 3 || countVoters(membership, sim.diskPresent) < voters(membership)) {
		return
	}
	change := Change{Remove: isMember, Member: h.member()}
	sim.run(leader, func(now time.Time) { _, _ = leader.core.ProposeChange(now, change) })
}

// repair adds a host that is no member, as an operator would.
func (sim *simulation) repair() {
	leader := sim.newestLeader()
	if leader == nil {
		return
	}
	for _, h := range sim.hosts {
		if find(leader.core.log.membership(), h.disk.id) == nil {
			change := Change{Member: h.member()}
			sim.run(leader, func(now time.Time) { _, _ = leader.core.ProposeChange(now, change) })
			return
		}
	}
}
