package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// served is a control group whose members answer.
type served struct {
	net     *testkit.Network
	members []string
}

func newServed(n int) *served {
	s := &served{net: &testkit.Network{}}
	for i := range n {
		s.members = append(s.members, fmt.Sprint("member", i))
	}
	for _, m := range s.members {
		s.net.Serve(m, NewServer(m, func() []string { return s.members }, nil), pb.DRPCLimitKeeperDescription{})
	}
	return s
}

func (s *served) client(entry string) *Client {
	return NewClient(s.net.Dialer(entry), func() []string { return s.members }, rand.New(rand.NewPCG(1, 2)).Shuffle)
}

func (s *served) calls() int {
	total := 0
	for _, m := range s.members {
		total += s.net.Calls(m)
	}
	return total
}

var someEndpoint = Endpoint{ID: "e1"}

// hears has a client hear a word now, in answer to a request that was sent just before.
func hears(c *Client, w Word) {
	time.Sleep(time.Millisecond)
	c.Hear(time.Now(), time.Now().Add(-time.Microsecond), someEndpoint, w)
}

func named(perSecond float64) Word { return Word{Kind: KindNamed, PerSecond: perSecond} }

// Guards against an entry that keeps to a limit which ended, since it sends nothing by
// which it could hear so: another one has told the keepers.
func TestEndOfALimitReachesOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServed(5)
		one, other := s.client("one"), s.client("other")
		hears(one, named(0.2))
		hears(other, named(0.2))
		assert.Assert(t, other.Take(t.Context(), someEndpoint) != nil)
		hears(one, Word{})
		assert.NilError(t, one.Tell(t.Context(), someEndpoint))
		assert.Assert(t, other.Take(t.Context(), someEndpoint) == nil)
		assert.Assert(t, !other.Limit(someEndpoint).Limited)
	})
}

// Guards against old news: an entry that heard of the end before the limit was named anew
// must not lift it, and neither must an answer that was made before the limit was named.
func TestOldNewsDoesNotLiftALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServed(3)
		one, other := s.client("one"), s.client("other")
		hears(one, named(1))
		hears(one, Word{})
		assert.NilError(t, one.Tell(t.Context(), someEndpoint))
		sent := time.Now()
		hears(other, named(1))
		assert.Assert(t, other.Take(t.Context(), someEndpoint) != nil)
		other.Hear(time.Now(), sent, someEndpoint, Word{})
		assert.Assert(t, other.Limit(someEndpoint).Limited)
	})
}

// Guards against a limit that is lifted by what can't be read.
func TestUnreadableWordChangesNothing(t *testing.T) {
	c := Unkept()
	hears(c, named(2))
	hears(c, Word{Kind: KindUnreadable})
	assert.Equal(t, c.Limit(someEndpoint).PerSecond, 2.0)
}

// Guards against another run of an endpoint that is bound by what the one before it said.
func TestLimitIsOfOneRun(t *testing.T) {
	c := Unkept()
	hears(c, named(2))
	assert.Assert(t, !c.Limit(Endpoint{ID: someEndpoint.ID, Born: 7}).Limited)
}

// Guards against an entry that goes by its own word when it reaches no keeper: others send
// too.
func TestEntryWithoutKeepersSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServed(5)
		c := s.client("entry")
		hears(c, named(50))
		time.Sleep(time.Minute)
		assert.Assert(t, c.Take(t.Context(), someEndpoint) == nil)
		s.net.SetCut(true, "entry", s.members...)
		began := time.Now()
		for range 20 {
			denied := c.Take(t.Context(), someEndpoint)
			assert.Assert(t, denied != nil && denied.NoKeeper && denied.Again > 0)
		}
		assert.Assert(t, time.Since(began) < time.Second, "keepers that are silent are asked once for a while")
	})
}

// Guards against hundreds of entries that ask again and again for the same few requests.
func TestDeniedEntriesAskSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServed(5)
		const entries = 200
		var all sync.WaitGroup
		for n := range entries {
			c := s.client(fmt.Sprint("entry", n))
			hears(c, named(1))
			all.Go(func() {
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
					pause := 20 * time.Millisecond
					if denied := c.Take(t.Context(), someEndpoint); denied != nil {
						pause = denied.Again
					}
					time.Sleep(pause)
				}
			})
		}
		all.Wait()
		t.Logf("%d questions in 20 s", s.calls())
		assert.Assert(t, s.calls() < 5000, "%d questions in 20 s", s.calls())
	})
}

// Guards against a list of endpoints that were long gone.
func TestKnownForgetsWhatIsUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Unkept()
		hears(c, named(2))
		unlisted := func(Endpoint) bool { return false }
		c.Keep(time.Now().Add(time.Second), unlisted)
		assert.Assert(t, c.Limit(someEndpoint).Limited)
		c.Keep(time.Now().Add(2*keptUnlisted), unlisted)
		assert.Assert(t, !c.Limit(someEndpoint).Limited)
	})
}

// Guards against members that agree on the group and not on the keepers.
func TestKeepersDoNotDependOnTheOrder(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f"}
	want := Keepers(members, someEndpoint)
	assert.Equal(t, len(want), mostKeepers)
	rand.New(rand.NewPCG(4, 4)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	assert.DeepEqual(t, Keepers(append(members, members[0]), someEndpoint), want)
	assert.Equal(t, len(Keepers(nil, someEndpoint)), 0)
}
