package consensus

import (
	"fmt"
	"time"
)

// injectFault makes one fault happen.
func (w *world) injectFault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(10) {
	case 0, 1:
		if h.core != nil {
			w.crash(h)
		}
	case 2:
		w.crashAll()
	case 3:
		w.loseDisk(h)
	case 4, 5:
		w.freeze(h)
	case 6:
		w.cutOff(h)
	case 7, 8:
		w.cutOneWay(h)
	case 9:
		w.changeMember(h)
	}
}

func (w *world) crashAll() {
	for _, h := range w.hosts {
		if h.core != nil {
			w.crash(h)
		}
	}
}

// pause is how long a fault lasts: mostly around the election timeout.
func (w *world) pause() time.Duration {
	longest := 2 * DefaultElectionTimeout
	if w.random.IntN(4) == 0 {
		longest *= 6
	}
	return time.Duration(w.random.Int64N(int64(longest)))
}

func (w *world) freeze(h *host) {
	if h.core == nil || h.frozen {
		return
	}
	h.frozen = true
	life := h.life
	w.after(w.pause(), func() {
		if h.life != life {
			return
		}
		h.frozen = false
		held := h.held
		h.held = nil
		for _, do := range held {
			do()
		}
	})
}

func (w *world) cut(from, to string, length time.Duration) {
	w.cuts[[2]string{from, to}] = true
	w.after(length, func() { delete(w.cuts, [2]string{from, to}) })
}

func (w *world) cutOff(h *host) {
	length := w.pause()
	for _, other := range w.hosts {
		w.cut(h.name, other.name, length)
		w.cut(other.name, h.name, length)
	}
}

// cutOneWay cuts what h sends, or what it gets, to all or to one.
func (w *world) cutOneWay(h *host) {
	length := w.pause()
	sends := w.random.IntN(2) == 0
	only := w.random.IntN(2) == 0
	for _, other := range w.hosts {
		if sends {
			w.cut(h.name, other.name, length)
		} else {
			w.cut(other.name, h.name, length)
		}
		if only {
			return
		}
	}
}

// newestLeader is the leader of the highest term.
func (w *world) newestLeader() *host {
	var newest *host
	for _, h := range w.hosts {
		if h.core != nil && h.core.IsLeader() && (newest == nil || h.core.term > newest.core.term) {
			newest = h
		}
	}
	return newest
}

// loseDisk takes a disk within the bound: in every membership that may be in
// force, the voters whose disk is gone stay under half.
func (w *world) loseDisk(h *host) {
	if w.checks.log[2] == nil || !w.mayLose(h) {
		return // until its first leader commits, the group is on one disk only
	}
	h.lost++
	h.core = nil
	h.life++
	h.disk = &disk{id: fmt.Sprintf("%s.%d", h.name, h.lost)}
	w.start(h)
}

func (w *world) mayLose(h *host) bool {
	for _, other := range w.hosts {
		var log replicatedLog
		if other.core != nil {
			log = other.core.log
		} else {
			log = newLog(other.disk.state)
		}
		for _, m := range log.memberships {
			there := countVoters(m.membership, func(id string) bool { return id != h.disk.id && w.alive(id) })
			if voters(m.membership) > 0 && there < quorum(m.membership) {
				return false
			}
		}
	}
	return true
}

func (w *world) alive(diskID string) bool {
	for _, h := range w.hosts {
		if h.disk.id == diskID {
			return true
		}
	}
	return false
}

// handOver makes a leader hand over, as at a planned stop.
func (w *world) handOver() {
	if leader := w.newestLeader(); leader != nil {
		w.run(leader, func(now time.Time) { _ = leader.core.HandOver(now) })
	}
}

// changeMember adds h when it is no member, and removes it now and then.
func (w *world) changeMember(h *host) {
	leader := w.newestLeader()
	if leader == nil {
		return
	}
	membership := leader.core.log.membership()
	known := find(membership, h.disk.id) != nil
	// An operator who removes a member while disks are lost leaves the bound
	// on lost disks; the leader can't know of a disk lost just now.
	if known && (voters(membership) <= 3 || countVoters(membership, w.alive) < voters(membership)) {
		return
	}
	change := Change{Remove: known, Member: h.member()}
	w.run(leader, func(now time.Time) { _, _ = leader.core.ProposeChange(now, change) })
}

// repair adds each host that is no member, as an operator would.
func (w *world) repair() {
	leader := w.newestLeader()
	if leader == nil {
		return
	}
	for _, h := range w.hosts {
		if find(leader.core.log.membership(), h.disk.id) == nil {
			change := Change{Member: h.member()}
			w.run(leader, func(now time.Time) { _, _ = leader.core.ProposeChange(now, change) })
			return
		}
	}
}
