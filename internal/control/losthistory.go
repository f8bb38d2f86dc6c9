package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// lostHistoryMarginMs is added to the record life for which a lost history
// counts, in ms: two leaders' clocks may differ by as much.
const lostHistoryMarginMs = 10_000

// clearExpiredLostHistory clears the mark of groups whose lost records have outlived
// their life.
//
// Failure guarded: were each entry to compare the time of the loss with its
// own wall clock, one with a clock ahead would take lost records for absent
// ones, and run a call a second time. So the state ends the mark, by the
// clocks of the control group alone.
func (m *Machine) clearExpiredLostHistory() {
	if !m.anyLostHistory() {
		return
	}
	for _, shard := range m.sortedShards() {
		g := m.groups[shard]
		if g.HistoryLostUnixMs == 0 {
			continue
		}
		age := m.clockUnixMs - g.HistoryLostUnixMs
		switch life := m.recordLifeMs() + lostHistoryMarginMs; {
		case age < -life:
			m.setGroup(withLostHistory(g, m.clockUnixMs)) // lost by a clock far ahead
		case age > life:
			m.setGroup(withLostHistory(g, 0))
		}
	}
}

func (m *Machine) anyLostHistory() bool {
	for _, g := range m.groups {
		if g.HistoryLostUnixMs != 0 {
			return true
		}
	}
	return false
}

func (m *Machine) lostHistoryExpired(clock int64) bool {
	for _, g := range m.groups {
		if g.HistoryLostUnixMs != 0 && clock-g.HistoryLostUnixMs > m.recordLifeMs()+lostHistoryMarginMs {
			return true
		}
	}
	return false
}

func withLostHistory(g *pb.LedgerGroup, lost int64) *pb.LedgerGroup {
	next := proto.Clone(g).(*pb.LedgerGroup)
	next.HistoryLostUnixMs = lost
	return next
}
