package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ttl = 28 * time.Second

var v1 = Origin{Service: "s", Software: "v1"}

// settle is enough time for a record to reach its holders.
const settle = 50 * time.Millisecond

// Guards against streams that are unknown once the entry that began them has died, also if two
// of its holders are lost.
func TestStreamIsKnownAfterItsEntryAndTwoHoldersAreLost(t *testing.T) {
	runGroup(t, 5, 2, func(t *testing.T, g *group) {
		key := KeyOf("team", "host", "x1")
		g.entries[0].Record(key, v1, "e0", ttl)
		time.Sleep(settle)
		assert.Equal(t, g.holders(key), holdersPerEntry)
		for _, member := range holdersOf("entry0", g.members)[:2] {
			g.net.SetCut(true, "entry1", member)
		}
		origin, ok := g.entries[1].Find(t.Context(), key)
		assert.Assert(t, ok)
		assert.Equal(t, origin, v1)
	})
}

// Guards against streams that are unknown since all control instances were restarted while the
// entry that began them lives, and dies only then.
func TestStreamIsKnownAfterAllControlInstancesRestart(t *testing.T) {
	runGroup(t, 5, 2, func(t *testing.T, g *group) {
		key := KeyOf("", "host", "x1")
		g.entries[0].Record(key, v1, "e0", ttl)
		time.Sleep(settle)
		for _, member := range g.members {
			g.restart(member)
		}
		_, ok := g.entries[1].Find(t.Context(), key)
		assert.Assert(t, !ok, "lost, and not guessed")
		g.run(5*time.Second, g.entries[0])
		_, ok = g.entries[1].Find(t.Context(), key)
		assert.Assert(t, ok)
	})
}

// Guards against a stream of another team, host or request that is found, and against one that is
// taken for known after its time.
func TestOnlyTheNamedStreamIsFound(t *testing.T) {
	runGroup(t, 3, 1, func(t *testing.T, g *group) {
		c := g.entries[0]
		c.Record(KeyOf("team", "host", "x1"), v1, "e0", ttl)
		time.Sleep(settle)
		for _, foreign := range []Key{KeyOf("other", "host", "x1"), KeyOf("", "host", "x1"), KeyOf("team", "other", "x1"), KeyOf("team", "host", "x2"), KeyOf("tea", "mhost", "x1"), KeyOf("team", "host", "")} {
			_, ok := c.Find(t.Context(), foreign)
			assert.Assert(t, !ok)
		}
		time.Sleep(ttl - time.Second)
		_, ok := c.Find(t.Context(), KeyOf("team", "host", "x1"))
		assert.Assert(t, ok)
		time.Sleep(2 * time.Second)
		_, ok = c.Find(t.Context(), KeyOf("team", "host", "x1"))
		assert.Assert(t, !ok)
	})
}

// Guards against a guess between two streams that have one key.
func TestStreamOfTwoOriginsIsInDoubt(t *testing.T) {
	runGroup(t, 5, 3, func(t *testing.T, g *group) {
		key := KeyOf("", "host", "x1")
		g.entries[0].Record(key, v1, "e0", ttl)
		g.entries[1].Record(key, Origin{Service: "s", Software: "v2"}, "e1", ttl)
		time.Sleep(settle)
		for _, c := range g.entries {
			_, ok := c.Find(t.Context(), key)
			assert.Assert(t, !ok)
		}
	})
}

// Guards against the version of an earlier process: the endpoint started again under its ID.
func TestStreamOfARestartedEndpointIsInDoubt(t *testing.T) {
	runGroup(t, 5, 2, func(t *testing.T, g *group) {
		key := KeyOf("", "host", "x1")
		g.entries[0].Record(key, v1, "e0", ttl)
		time.Sleep(settle)
		for _, history := range g.histories {
			history.restarted[SumOf("e0")] = true
		}
		for _, c := range g.entries {
			_, ok := c.Find(t.Context(), key)
			assert.Assert(t, !ok)
		}
	})
}

// Guards against holders that have lost contact with the leader, and don't know that the endpoint
// started again: none of them decides, and a stream waits for one that has contact.
func TestHoldersOutOfContactDoNotDecide(t *testing.T) {
	runGroup(t, 3, 1, func(t *testing.T, g *group) {
		key := KeyOf("", "host", "x1")
		g.entries[0].Record(key, v1, "e0", ttl)
		time.Sleep(settle)
		for _, history := range g.histories {
			history.cut = true
		}
		_, ok := g.entries[0].Find(t.Context(), key)
		assert.Assert(t, !ok)
		g.histories["member2"].cut = false
		_, ok = g.entries[0].Find(t.Context(), key)
		assert.Assert(t, ok)
		g.histories["member2"].restarted[SumOf("e0")] = true
		_, ok = g.entries[0].Find(t.Context(), key)
		assert.Assert(t, !ok)
	})
}

// Guards against a stream that is taken for one of the process before: the endpoint has just
// started again under its ID, and isn't listed anew yet.
func TestStreamOfAReusedIDIsKnownOnceARestartWouldShow(t *testing.T) {
	runGroup(t, 3, 1, func(t *testing.T, g *group) {
		key := KeyOf("", "host", "x1")
		for _, history := range g.histories {
			history.reusesIDs = true
		}
		began := time.Now()
		g.entries[0].Record(key, v1, "e0", ttl)
		time.Sleep(settle)
		_, ok := g.entries[0].Find(t.Context(), key)
		assert.Assert(t, ok)
		assert.Assert(t, time.Since(began) >= registrationTime)
	})
}

// Guards against records that outlive their streams: memory is bounded by the streams of one TTL.
func TestRecordsAreRemoved(t *testing.T) {
	runGroup(t, 3, 1, func(t *testing.T, g *group) {
		for n := range 500 {
			g.entries[0].Record(KeyOf("", "host", fmt.Sprint(n)), v1, "e0", ttl)
		}
		g.run(ttl+4*time.Second, g.entries[0])
		g.entries[0].Record(KeyOf("", "host", "last"), v1, "e0", ttl)
		time.Sleep(time.Second)
		assert.Equal(t, g.entries[0].count(), 1)
		for _, s := range g.servers {
			assert.Equal(t, s.count(), 1)
		}
	})
}

// Many streams of one entry go to its holders together.
func TestStreamsAreSentTogether(t *testing.T) {
	runGroup(t, 5, 1, func(t *testing.T, g *group) {
		for n := range 100 {
			g.entries[0].Record(KeyOf("", "host", fmt.Sprint(n)), v1, "e0", ttl)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(flushInterval)
		for n := range 100 {
			assert.Equal(t, g.holders(KeyOf("", "host", fmt.Sprint(n))), holdersPerEntry)
		}
		for _, member := range holdersOf("entry0", g.members) {
			assert.Assert(t, g.net.CallCount(member) <= 6, "%d", g.net.CallCount(member))
		}
	})
}

// Guards against traffic that grows by a call for each stream: an entry of a large fleet, with 45
// streams a second, calls each holder at most four times a second.
func TestTrafficOfAnEntry(t *testing.T) {
	const perSecond, seconds = 45, 60
	runGroup(t, 15, 1, func(t *testing.T, g *group) {
		for n := range perSecond * seconds {
			endpoint, origin := fmt.Sprint("i-", n%400), Origin{Service: fmt.Sprint("service-", n%5), Software: "v1.2"}
			g.entries[0].Record(KeyOf("team", "host", fmt.Sprint(n)), origin, endpoint, ttl)
			time.Sleep(time.Second / perSecond)
		}
		calls := 0
		for _, member := range g.members {
			calls += g.net.CallCount(member)
		}
		t.Logf("%d streams: %.0f calls and %.0f bytes of messages a second", perSecond*seconds, float64(calls)/seconds, float64(g.net.BytesCarried())/seconds)
		assert.Assert(t, calls <= holdersPerEntry*(seconds+1)*int(time.Second/flushInterval))
	})
}

func TestBatchesKeepStreams(t *testing.T) {
	a, b := KeyOf("", "", "a"), KeyOf("", "", "b")
	table := newTable()
	now := time.Now()
	table.put(now, a, v1, SumOf("e0"), ttl)
	table.put(now, b, Origin{Service: "s", Software: "v2"}, SumOf("e1"), ttl)
	var streams []stream
	for key, r := range table.records {
		streams = append(streams, stream{key: key, origin: r.origin, endpoint: r.endpoint, ttl: r.expires.Sub(now)})
	}
	batches := batchesToWire(streams)
	assert.Equal(t, len(batches), 2)
	received := newTable()
	for _, batch := range batches {
		batch.Streams = append(batch.Streams, 1, 2, 3) // incomplete
		for _, s := range streamsFromWire(batch) {
			received.put(now, s.key, s.origin.Value(), s.endpoint, s.ttl)
		}
	}
	assert.Equal(t, len(received.records), 2)
	for key, r := range table.records {
		assert.Equal(t, received.records[key], r)
	}
}

// Load pattern: all processes are killed and all callers return at once, before the control
// instances have a leader. They wait for it; while there is none for longer, nobody waits.
func TestOnlyVersionIsAwaitedOverAnElection(t *testing.T) {
	runGroup(t, 3, 1, func(t *testing.T, g *group) {
		c := g.entries[0]
		g.setQuorum(false)
		go func() {
			time.Sleep(700 * time.Millisecond)
			g.setQuorum(true)
		}()
		software, ok := c.SoleSoftware(t.Context(), "s", ttl)
		assert.Assert(t, ok)
		assert.Equal(t, software, "v1")
		g.setQuorum(false)
		for _, limit := range []time.Duration{maxQuorumWait, askTimeout, askTimeout} {
			began := time.Now()
			_, ok = c.SoleSoftware(t.Context(), "s", ttl)
			assert.Assert(t, !ok)
			assert.Assert(t, time.Since(began) <= limit)
		}
	})
}
