package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

const (
	zoneNear = fleet.AvailabilityZone("howrah")
	zoneFar  = fleet.AvailabilityZone("barasat")
)

var model = engineapi.ModelRef{Model: "assay", Version: "2"}

// fakeEngine answers probes.
type fakeEngine struct {
	engine.Client
	mu    sync.Mutex
	dead  bool
	state engineapi.Announcement
}

func (e *fakeEngine) State(context.Context, engine.Target) (engineapi.Announcement, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engineapi.Announcement{}, errors.New("connection refused")
	}
	return e.state, nil
}

func (e *fakeEngine) Cancel(engine.Target, fleet.AttemptID) {}

func (e *fakeEngine) Cache(context.Context, engine.Target) (engineapi.CacheSnapshot, error) {
	return engineapi.CacheSnapshot{}, nil
}

// fakeNet connects the daemons of one test by drpc over in-memory pipes.
type fakeNet struct {
	ctx  context.Context
	mu   sync.Mutex
	mux  map[string]*drpcmux.Mux
	cut  map[string]bool // unreachable addresses
	pool *drpcpool.Pool[string, drpcpool.Conn]
	// bytes counts what all calls have transferred, both ways.
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

func newFakeNet(t *testing.T) *fakeNet {
	ctx, cancel := context.WithCancel(context.Background())
	n := &fakeNet{ctx: ctx, mux: map[string]*drpcmux.Mux{}, cut: map[string]bool{},
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: 64, KeyCapacity: 16})}
	t.Cleanup(func() { cancel(); _ = n.pool.Close() })
	return n
}

func (n *fakeNet) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[address] || n.mux[address] == nil {
		return nil, errors.New("unreachable")
	}
	return n.pool.Get(ctx, address, n.dial), nil
}

func (n *fakeNet) dial(_ context.Context, address string) (drpcpool.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ours, theirs := net.Pipe()
	ours = &countingConn{Conn: ours, count: &n.bytes}
	server := drpcserver.New(currentMux{net: n, address: address})
	go func() { _ = server.ServeOne(n.ctx, theirs) }()
	return drpcconn.New(ours), nil
}

// serve makes home answer the calls to address from now on.
func (n *fakeNet) serve(t *testing.T, address string, home pb.DRPCHomeServer) {
	t.Helper()
	mux := drpcmux.New()
	assert.NilError(t, pb.DRPCRegisterHome(mux, home))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mux[address] = mux
}

// currentMux looks up the home at an address at each call, so that a test can
// replace it also for open connections.
type currentMux struct {
	net     *fakeNet
	address string
}

func (c currentMux) HandleRPC(stream drpc.Stream, rpc string) error {
	c.net.mu.Lock()
	mux := c.net.mux[c.address]
	c.net.mu.Unlock()
	return mux.HandleRPC(stream, rpc)
}

func (n *fakeNet) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// daemon is one in-process instance.
type daemon struct {
	source *testkit.Source
	engine *fakeEngine
	home   *Home
	client *HomeClient
	stop   context.CancelFunc
}

func instance(id string, zone fleet.AvailabilityZone) fleet.Instance {
	return fleet.Instance{ID: fleet.InstanceID(id), Incarnation: 1, Zone: zone, Entry: true,
		RPCAddress: id + ":7000", EndpointAddress: id + ":7001", CallerAddress: id + ":7002"}
}

func viewOf(number uint64, list ...fleet.Instance) fleet.View {
	v := fleet.View{Number: number, Instances: map[fleet.InstanceID]fleet.Instance{}}
	for _, i := range list {
		v.Instances[i.ID] = i
	}
	return v
}

// setView changes the view that d has.
func (d *daemon) setView(view fleet.View) { d.source.Set(&membership.State{View: view}) }

// rpcAddress is the address at which other daemons call d.
func (d *daemon) rpcAddress() string { return d.source.Self().RPCAddress }

// startDaemon starts a daemon; it must be stopped before the test's synctest
// bubble ends.
func startDaemon(t *testing.T, n *fakeNet, self fleet.Instance, view fleet.View) *daemon {
	t.Helper()
	d := &daemon{source: testkit.NewSource(self, &membership.State{View: view}), engine: &fakeEngine{}}
	d.home = NewHome(HomeOptions{
		Source: d.source, Engine: d.engine, Dialer: n, Seed: 1,
		CheckKey:    func(k string) bool { return k == "key" },
		Running:     func(a fleet.AttemptID) bool { return d.client.Running(a) },
		ReportCrash: func(context.Context, *pb.ReportCrash) error { return nil },
	})
	d.client = NewFollower(FollowerOptions{Source: d.source, Dialer: n, Home: d.home})
	n.serve(t, self.RPCAddress, d.home)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.home.Run(ctx) })
	running.Go(func() { _ = d.client.Run(ctx) })
	d.stop = func() { cancel(); running.Wait() }
	return d
}

// post sends JSON to a daemon's endpoint listener.
func (d *daemon) post(path string, body any, into any) int {
	raw, ok := body.([]byte)
	if !ok {
		raw, _ = json.Marshal(body)
	}
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(raw))
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	d.home.Handler().ServeHTTP(w, r)
	if into != nil {
		all, _ := io.ReadAll(w.Body)
		_ = json.Unmarshal(all, into)
	}
	return w.Code
}

func announcement(id string, slots int) engineapi.Announcement {
	return engineapi.Announcement{ID: fleet.EndpointID(id), Incarnation: 1, Zone: zoneNear, Address: "127.0.0.1:9",
		Role: fleet.RoleDecode, Models: []engineapi.ModelRef{model}, Slots: slots}
}

// heartbeat sends a heartbeat with the given holds to d.
func (d *daemon) heartbeat(a engineapi.Announcement, sequence uint64, held ...engineapi.Held) (engineapi.AnnounceReply, int) {
	var reply engineapi.AnnounceReply
	code := d.post("/v1/endpoints/heartbeat", engineapi.Heartbeat{Announcement: a, Sequence: sequence, Held: held}, &reply)
	return reply, code
}

func grantRequest(endpoint, attempt string, wait time.Duration) GrantRequest {
	return GrantRequest{Endpoint: fleet.EndpointID(endpoint), Kind: fleet.RoleDecode, Attempt: fleet.AttemptID(attempt),
		Team: "sorters", Model: model, ExpectedTokens: 100, MaxWait: wait, Share: 1}
}

// mustAcquire acquires a slot of e1, which must be free.
func (d *daemon) mustAcquire(t *testing.T, attempt string) *Grant {
	t.Helper()
	grant, refusal, err := d.client.Acquire(t.Context(), grantRequest("e1", attempt, 0))
	assert.NilError(t, err)
	assert.Assert(t, grant != nil, "refused: %v", refusal)
	return grant
}

// finish releases a grant whose output is complete.
func (d *daemon) finish(g *Grant) {
	d.client.Release(Release{Grant: *g, Reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED})
}

// candidates counts d's candidates in the near zone.
func (d *daemon) candidates() int { return len(d.client.Candidates(query(zoneNear))) }

func query(zones ...fleet.AvailabilityZone) Query {
	return Query{Kind: fleet.RoleDecode, Model: model, Permitted: fleet.NewZoneSet(zones...)}
}
