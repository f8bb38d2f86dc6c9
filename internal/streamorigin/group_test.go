package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// fakeHistory knows the versions of endpoints by script.
type fakeHistory struct {
	mu        sync.Mutex
	restarted map[EndpointSum]bool
	sole      string // empty for several
	cut       bool   // not in contact with the leader
	noQuorum  bool
	reusesIDs bool
}

func (f *fakeHistory) MayHaveRunOther(endpoint EndpointSum, _ string, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarted[endpoint]
}

func (f *fakeHistory) SoleSoftware(context.Context, string, time.Duration) (string, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.noQuorum {
		return "", false, errors.New("no quorum")
	}
	return f.sole, f.sole != "", nil
}

func (f *fakeHistory) ReusesID(EndpointSum) bool { return f.reusesIDs }

func (f *fakeHistory) InContact() bool { return !f.cut }

// group is a set of control instances and of entries.
type group struct {
	net       *testkit.Network
	members   []string
	servers   map[string]*Server
	histories map[string]*fakeHistory
	epoch     uint64
	entries   []*Client
}

func newGroup(members, entries int) *group {
	g := &group{net: &testkit.Network{}, servers: map[string]*Server{}, histories: map[string]*fakeHistory{}}
	for n := range members {
		member := fmt.Sprint("member", n)
		g.members = append(g.members, member)
		g.histories[member] = &fakeHistory{restarted: map[EndpointSum]bool{}}
		g.restart(member)
	}
	for range entries {
		g.join()
	}
	return g
}

// runGroup runs a test with a group, and lets its calls end.
func runGroup(t *testing.T, members, entries int, test func(t *testing.T, g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t, newGroup(members, entries))
		time.Sleep(2 * recordTimeout)
	})
}

// restart replaces a control instance by one without records.
func (g *group) restart(member string) {
	g.epoch++
	g.servers[member] = NewServer(g.epoch, g.histories[member], nil)
	g.net.Serve(member, g.servers[member], pb.DRPCStreamOriginsDescription{})
}

func (g *group) join() *Client {
	name := fmt.Sprint("entry", len(g.entries))
	c := NewClient(Options{Entry: name, Dialer: g.net.Dialer(name), Members: func() []string { return g.members }, Shuffle: rand.Shuffle, Part: logging.Part{}})
	g.entries = append(g.entries, c)
	return c
}

// setQuorum sets whether a quorum can be asked for a service's only version, v1.
func (g *group) setQuorum(reached bool) {
	for _, h := range g.histories {
		h.mu.Lock()
		h.sole, h.noQuorum = "v1", !reached
		h.mu.Unlock()
	}
}

// run lets time pass, with a sweep of each living entry each second.
func (g *group) run(d time.Duration, living ...*Client) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, c := range living {
			c.Sweep(time.Now())
		}
	}
}

// holders returns how many control instances know a stream.
func (g *group) holders(key Key) (n int) {
	for _, s := range g.servers {
		if _, found := s.get(key); found {
			n++
		}
	}
	return n
}

func (c *Client) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.own.records)
}

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.records)
}
