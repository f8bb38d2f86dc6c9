package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// lostHistoryMarginMs is added to the record life for which the mark of a lost
// history stays, because two leaders' clocks may differ by as much.
const lostHistoryMarginMs = 10_000

// clearExpiredLostHistory clears the lost-history mark of groups whose lost
// records would have expired by now.
//
// The state clears the mark, by the control group's clocks alone. If each entry
// compared the time of the loss with its own wall clock, an entry whose clock is
// ahead would take lost records for absent ones and run a call a second time.
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
			m.setGroup(withLostHistory(g, m.clockUnixMs)) // marked under a clock far ahead
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
