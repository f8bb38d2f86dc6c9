package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/testkit"

	"google.golang.org/protobuf/proto"
)

// member answers Follow from a catalog of its own.
type member struct {
	pb.DRPCCoordinatorServer
	machine *catalog.Machine

	mu    sync.Mutex
	out   bool // of touch
	asked int
	self  *pb.EntryRecord
}

func (m *member) Follow(ctx context.Context, r *pb.FollowRequest) (*pb.FollowReply, error) {
	m.mu.Lock()
	m.asked++
	m.self = r.Self
	out := m.out
	m.mu.Unlock()
	revision, changed := m.machine.Revision()
	if revision <= r.Revision {
		select {
		case <-changed:
		case <-time.After(time.Duration(r.WaitMs) * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	delta := m.machine.Since(r.DocumentVersion, r.Revision)
	news := &pb.CrashNews{Mark: &pb.CrashMark{Epoch: r.Crashes.GetEpoch() + 1}}
	return &pb.FollowReply{Crashes: news, Current: !out, Outline: delta.Outline, Revision: delta.Revision, Endpoints: delta.Endpoints, More: delta.More, Entries: 3, Senders: 4}, nil
}

// Blocks answers from the catalog as well.
func (m *member) Blocks(_ context.Context, r *pb.BlocksRequest) (*pb.BlocksReply, error) {
	var sums []blocks.Sum
	for _, name := range r.Blocks {
		sums = append(sums, blocks.Sum(name))
	}
	return &pb.BlocksReply{Packed: m.machine.Blocks(sums)}, nil
}

// questions counts what the members were asked.
func (f *fleet) questions() int {
	total := 0
	for _, m := range f.members {
		m.mu.Lock()
		total += m.asked
		m.mu.Unlock()
	}
	return total
}

func (m *member) set(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = out
}

// fleet is three members with equal logs and one follower.
type fleet struct {
	t        *testing.T
	net      *testkit.Network
	members  []*member
	index    uint64
	follower *Follower
	entries  atomic.Int64
	crashes  *readCrashes
}

func run(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: &testkit.Network{}, crashes: &readCrashes{marks: map[string]*pb.CrashMark{}}}
		var seeds []string
		for n := range 3 {
			m := &member{machine: catalog.NewMachine()}
			f.members = append(f.members, m)
			seeds = append(seeds, address(n))
			f.net.Serve(address(n), m, pb.DRPCCoordinatorDescription{})
		}
		f.follower = New(Options{
			Dialer: f.net.Dialer("entry"), Seeds: seeds, Decode: decode,
			Self:    func() *pb.EntryRecord { return &pb.EntryRecord{Id: "me"} },
			Senders: func(n int) { f.entries.Store(int64(n)) }, Uptime: uptime, Crashes: f.crashes,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- f.follower.Run(ctx) }()
		test(t, f)
		cancel()
		assert.NilError(t, <-done)
	})
}

func address(n int) string { return fmt.Sprint("control", n) }

// uptime begins with a test's own time.
func uptime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// decode reads a document whose source is the name of its route.
func decode(source []byte, _ *routetable.Document) (*routetable.Document, error) {
	if string(source) == "bad" {
		return nil, errors.New("bad")
	}
	route := routetable.Route{Name: string(source), Host: "h", Prefix: "/", Backends: []routetable.Backend{{Service: "s", Weight: 1}}}
	return &routetable.Document{Routes: []routetable.Route{route}}, nil
}

// commit applies a command at the members given, all if none.
func (f *fleet) commit(c *pb.CatalogCommand, at ...int) {
	data, err := proto.Marshal(c)
	assert.NilError(f.t, err)
	f.index++
	for n, m := range f.members {
		if len(at) == 0 || at[0] == n {
			m.machine.Apply(f.index, data)
		}
	}
}

func document(version int64, name string) *pb.CatalogCommand {
	return &pb.CatalogCommand{Kind: &pb.CatalogCommand_PutDocument{PutDocument: &pb.ConfigDocument{Version: version, Source: []byte(name)}}}
}

func endpoint(id string, seq uint64, state pb.EndpointState) *pb.CatalogCommand {
	r := &pb.EndpointRecord{Id: id, Service: "s", State: state, Sequence: seq, Stage: pb.Stage_STAGE_DECODE}
	return &pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: r}}
}

func (f *fleet) inForce() string {
	view := f.follower.View()
	if view == nil || view.Table == nil {
		return ""
	}
	return view.Table.Match("h", "/").Name
}

func (f *fleet) endpoints() int {
	if view := f.follower.View(); view != nil {
		return len(view.Endpoints["s"])
	}
	return 0
}

func TestChangesComeAtOnce(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		time.Sleep(time.Second)
		f.commit(document(1, "one"))
		f.commit(endpoint("e", 1, pb.EndpointState_ENDPOINT_STATE_READY))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, f.inForce(), "one")
		assert.Equal(t, f.endpoints(), 1)
		f.commit(endpoint("e", 2, pb.EndpointState_ENDPOINT_STATE_DRAINING))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, f.endpoints(), 0)
		assert.Equal(t, f.entries.Load(), int64(4))
	})
}

// An endpoint whose stage is being changed gets no work.
func TestAssignedEndpointIsOut(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.commit(endpoint("e", 1, pb.EndpointState_ENDPOINT_STATE_READY))
		f.commit(&pb.CatalogCommand{Kind: &pb.CatalogCommand_AssignStage{AssignStage: &pb.AssignStage{Id: "e", Stage: pb.Stage_STAGE_PREFILL}}})
		time.Sleep(time.Second)
		assert.Equal(t, f.endpoints(), 0)
	})
}

// The connection to one member goes silent, without a reset, just before a
// change. The entry must not serve on by the old configuration for two seconds.
func TestSilentConnectionHoldsUpNothing(t *testing.T) {
	for cut := range 3 {
		run(t, func(t *testing.T, f *fleet) {
			time.Sleep(time.Second)
			f.net.SetCut(true, address(cut), "entry")
			f.commit(document(1, "one"))
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, f.inForce(), "one")
		})
	}
}

// The members that the entry asks are cut off from the third, which alone hears
// of a change. They answer, but say that they are not in touch, and the entry
// turns to the third.
func TestMembersOutOfTouchAreLeft(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.commit(document(1, "one"))
		time.Sleep(time.Second)
		third := f.unasked()
		for n, m := range f.members {
			m.set(n != third)
		}
		f.commit(document(2, "two"), third)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.inForce(), "two")
		f.members[third].set(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.inForce(), "two", "members that are behind take nothing back")
		assert.Assert(t, f.questions() < 400, "asked %d times in all", f.questions())
	})
}

// unasked is the member that the entry doesn't ask.
func (f *fleet) unasked() int {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	for n := range f.members {
		if !slices.Contains(f.follower.asked[:], address(n)) {
			return n
		}
	}
	f.t.Fatal("all are asked")
	return 0
}

// All machines lost power and come back one after the other. The entry must
// not wait for a member that is still dark while another one is up.
func TestFirstPictureComesFromWhoeverIsUp(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for n := range f.members {
			f.net.SetCut(true, "entry", address(n))
		}
		f.commit(document(1, "one"))
		time.Sleep(1300 * time.Millisecond)
		f.net.SetCut(false, "entry", address(1))
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, f.inForce(), "one")
	})
}

// Hundreds of entries start with the fleet, and no member knows a leader for
// seconds. They must not ask so often that none is ever elected.
func TestEntriesAskLessOftenWhileNobodyIsInTouch(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.set(true)
		}
		time.Sleep(5 * time.Second)
		before := f.questions()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.questions()-before < 60, "asked %d times in 10 s", f.questions()-before)
	})
}

// Guards against too large a share of common budgets: a member out of touch, or one of a
// group that has just formed, knows few of the entries.
func TestNumberOfAMemberOutOfTouchIsNotTaken(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		for _, m := range f.members {
			m.set(true)
		}
		time.Sleep(time.Second) // the first answers may have been given before
		f.entries.Store(0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.entries.Load(), int64(0))
	})
}

// A document that passed the checks can't be read here: the one before stays
// in force.
func TestUnreadableDocument(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.commit(document(1, "one"))
		time.Sleep(time.Second)
		f.commit(document(2, "bad"))
		time.Sleep(time.Second)
		assert.Equal(t, f.inForce(), "one")
		f.commit(document(3, "three"))
		time.Sleep(time.Second)
		assert.Equal(t, f.inForce(), "three")
	})
}

// An entry that stops has itself taken from the address lists at once, not at
// its next question.
func TestNudge(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.commit(document(1, "one"))
		time.Sleep(time.Second)
		asked := f.questions()
		f.follower.Nudge()
		time.Sleep(time.Millisecond)
		assert.Assert(t, f.questions() >= asked+2)
	})
}

// A newer configuration is told and its blocks don't come: whoever asks learns for
// how long that has been so, until they come.
func TestBehind(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.commit(document(1, "one"))
		time.Sleep(time.Second)
		assert.Equal(t, f.follower.Behind(), time.Duration(0))
		var free atomic.Bool
		f.net.OnRequest("entry", "Blocks", func(string) {
			if !free.Load() {
				time.Sleep(time.Hour)
			}
		})
		f.commit(document(2, "two"))
		time.Sleep(2 * time.Second)
		f.commit(document(3, "three"))
		time.Sleep(time.Second)
		behind := f.follower.Behind()
		assert.Assert(t, behind > 2900*time.Millisecond && behind <= 3*time.Second, "%v", behind)
		free.Store(true)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, f.inForce(), "three")
		assert.Equal(t, f.follower.Behind(), time.Duration(0))
	})
}

// A fleet of thousands of endpoints comes in parts over a narrow link. It comes
// once: both ways would else bring the same parts, and the entry would serve
// twice as late. A member that falls silent in the middle holds it up only until
// the other way goes on where it left off.
func TestALargeFleetComesOnce(t *testing.T) {
	const endpoints = 4000
	for _, cut := range []bool{false, true} {
		run(t, func(t *testing.T, f *fleet) {
			f.net.SetRate("entry", 200_000)
			size := 0
			for n := range endpoints {
				e := endpoint(fmt.Sprintf("endpoint-%040d", n), 1, pb.EndpointState_ENDPOINT_STATE_READY)
				e.GetReportEndpoint().Address = fmt.Sprint("address", n)
				size += proto.Size(e)
				f.commit(e)
			}
			if cut {
				time.Sleep(700 * time.Millisecond)
				f.net.SetCut(true, f.filler(), "entry")
			}
			began := time.Now()
			for f.endpoints() < endpoints && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			assert.Equal(t, f.endpoints(), endpoints)
			assert.Assert(t, f.net.Bytes() < size*3/2, "%d bytes for %d", f.net.Bytes(), size)
		})
	}
}

// filler is the member that gives the fleet in parts now.
func (f *fleet) filler() string {
	f.follower.mu.Lock()
	defer f.follower.mu.Unlock()
	return f.follower.asked[f.follower.filling.way]
}
