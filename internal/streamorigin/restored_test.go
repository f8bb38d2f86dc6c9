package streamorigin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// keptRecords keeps the records of a control instance beyond its process.
type keptRecords struct{ batches []*pb.StreamBatch }

func (k *keptRecords) Append(batches []*pb.StreamBatch) { k.batches = append(k.batches, batches...) }

// Guards against streams that are unknown, or taken for ones of another version, after all entries and all
// control instances ended at the same moment.
func TestStreamIsKnownAfterAllProcessesEnd(t *testing.T) {
	runGroup(t, 5, 2, func(t *testing.T, g *group) {
		kept := map[string]*keptRecords{}
		for _, member := range g.members {
			kept[member] = &keptRecords{}
			g.servers[member].SetJournal(kept[member])
		}
		known, replaced, twice := KeyOf("", "host", "x1"), KeyOf("", "host", "x2"), KeyOf("", "host", "x3")
		g.entries[0].Record(known, v1, "e0", ttl)
		g.entries[0].Record(replaced, v1, "e1", ttl)
		g.entries[0].Record(twice, v1, "e0", ttl)
		time.Sleep(flushInterval + settle)
		g.entries[0].Record(twice, Origin{Service: "s", Software: "v2"}, "e2", ttl)
		time.Sleep(flushInterval + settle)
		for _, member := range g.members {
			g.restart(member)
			g.servers[member].Restore(kept[member].batches)
			g.histories[member].restarted[SumOf("e1")] = true
		}
		last := g.entries[1]
		_, ok := last.Find(t.Context(), replaced)
		assert.Assert(t, !ok, "its endpoint may have been another process")
		_, ok = last.Find(t.Context(), twice)
		assert.Assert(t, !ok, "it has two origins")
		origin, ok := last.Find(t.Context(), known)
		assert.Assert(t, ok)
		assert.Equal(t, origin, v1)
		time.Sleep(ttl)
		_, ok = last.Find(t.Context(), known)
		assert.Assert(t, !ok, "its time is over")
		for _, server := range g.servers {
			assert.Equal(t, len(server.Live()), 0)
		}
	})
}
