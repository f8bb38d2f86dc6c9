package outcome

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// directDialer connects to services of this process by direct calls.
type directDialer map[string]*Service

func (d directDialer) Conn(_ context.Context, address string) (drpc.Conn, error) {
	return &directConn{service: d[address]}, nil
}

type directConn struct {
	drpc.Conn
	service *Service
}

func (c *directConn) Invoke(ctx context.Context, name string, _ drpc.Encoding, in, out drpc.Message) error {
	reply, err := dispatch(ctx, c.service.Server(), name, in)
	if err != nil {
		return err
	}
	out.(*pb.LedgerVerdict).Record = reply.(*pb.LedgerVerdict).Record
	out.(*pb.LedgerVerdict).Ok = reply.(*pb.LedgerVerdict).Ok
	return nil
}

// benchEntry returns an entry that isn't a replica itself, which is the usual case. It
// reaches its three replicas over loopback TCP with TLS, or by direct calls. former
// lists the zone classes that the team has left.
func benchEntry(b *testing.B, overNetwork, fast bool, registry prometheus.Registerer, former ...string) *Service {
	group := make(map[fleet.LedgerShard]fleet.LedgerGroup)
	view := fleet.View{Instances: make(map[fleet.InstanceID]fleet.Instance)}
	state := &membership.State{View: view, LedgerGroups: group, Tree: settingsTree(testZones), FormerZoneClasses: map[fleet.Team][]string{testTeam: former}}
	direct := directDialer{}
	var dialer rpc.Dialer = direct
	config, err := rpc.LoadTLS(testkit.WriteKeys(b, b.TempDir(), "entry-0"))
	assert.NilError(b, err)
	clock := timeline.NewClock(time.Now)
	if overNetwork {
		pool := rpc.NewPool(config, clock)
		b.Cleanup(func() { _ = pool.Close() })
		dialer = pool
	}
	var replicas []fleet.LedgerReplica
	var services []*Service
	for n, zone := range append(testZones.Zones(), "howrah") {
		self := fleet.Instance{ID: fleet.InstanceID(fmt.Sprint("entry-", n)), Incarnation: 1, Zone: zone, Entry: true}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		self.RPCAddress = listener.Addr().String()
		view.Instances[self.ID] = self
		o := Options{Source: &membership.Static{FixedState: state, Instance: self}, Dialer: dialer, DisableFastPath: !fast, Limits: Limits{MaxRecords: 10_000_000}}
		if n == 3 {
			o.Registerer = registry
		} else {
			replicas = append(replicas, fleet.LedgerReplica{Owner: self.Owner(), Ready: true})
		}
		s := NewService(o)
		services = append(services, s)
		direct[self.RPCAddress] = s
		server := rpc.NewServer(config, clock, logging.Part{})
		assert.NilError(b, pb.DRPCRegisterLedger(server.Mux, s.Server()))
		go func() { _ = server.Serve(b.Context(), listener) }()
	}
	for n := range uint32(fleet.LedgerShards) {
		for _, class := range append(former, testZones.Class()) {
			shard := fleet.LedgerShard{ZoneClass: class, Shard: n}
			group[shard] = fleet.LedgerGroup{Shard: shard, Epoch: 1, Replicas: replicas}
		}
	}
	for _, s := range services {
		s.applyState()
	}
	return services[3]
}

func benchClaim(b *testing.B, entry *Service, n int) Claim {
	c := newClaim(fmt.Sprint(n), fmt.Sprintf("%032x", n))
	verdict, _, err := entry.Claim(b.Context(), c)
	if err != nil || verdict != VerdictRun {
		b.Fatalf("claim %d: %v %v", n, verdict, err)
	}
	return c
}

func benchmarkClaim(b *testing.B, overNetwork, fast bool) {
	registry := prometheus.NewRegistry()
	entry := benchEntry(b, overNetwork, fast, registry)
	run := func(n int) {
		c := benchClaim(b, entry, n)
		if err := entry.Finish(b.Context(), c, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200); err != nil {
			b.Fatal(err)
		}
	}
	for n := range 100 {
		run(-n - 1)
	}
	before := requestCount(b, registry)
	b.ResetTimer()
	for n := range b.N {
		run(n)
	}
	b.StopTimer()
	b.ReportMetric((requestCount(b, registry)-before)/float64(b.N), "requests/op")
}

func requestCount(b *testing.B, registry *prometheus.Registry) float64 {
	families, err := registry.Gather()
	assert.NilError(b, err)
	total := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "hyssopsail_ledger_requests_total" {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

func BenchmarkClaimFinish(b *testing.B) {
	b.Run("direct/fast", func(b *testing.B) { benchmarkClaim(b, false, true) })
	b.Run("direct/two-phases", func(b *testing.B) { benchmarkClaim(b, false, false) })
	b.Run("loopback-tls/fast", func(b *testing.B) { benchmarkClaim(b, true, true) })
	b.Run("loopback-tls/two-phases", func(b *testing.B) { benchmarkClaim(b, true, false) })
}

// BenchmarkClaimOnly measures the claim that a request waits for before its first byte
// may be sent.
func BenchmarkClaimOnly(b *testing.B) {
	wider := fleet.NewZoneSet(append(testZones.Zones(), "rende")...).Class()
	for name, former := range map[string][]string{"fast": nil, "two-phases": nil, "fast, zones changed": {wider}} {
		b.Run(name, func(b *testing.B) {
			entry := benchEntry(b, true, name != "two-phases", nil, former...)
			for n := range b.N {
				benchClaim(b, entry, n)
			}
		})
	}
}

// BenchmarkReplica measures a replica's own work for a claim and its finish on one
// core, including the decoding of messages, and the memory of a record.
func BenchmarkReplica(b *testing.B) {
	service := newSingleReplicaService()
	service.replica.shards[fleet.LedgerShard{ZoneClass: testZones.Class()}].acceptor.limits.MaxRecords = 1 << 30
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ref := &pb.ShardRef{ZoneClass: testZones.Class(), Epoch: 1}
	owner := fleet.Owner{Instance: "entry-1", Incarnation: 1}
	b.ResetTimer()
	for n := range b.N {
		key := numberedKey(n)
		d := intentOf(fleet.AttemptID(fmt.Sprintf("%032x", n)), owner)
		accept := pb.AcceptRequest{Shard: ref, Key: key[:], Ballot: fastBallot(1).proto(), Decision: d.proto(), EndpointId: "bank-1"}
		finish := pb.FinishRequest{Shard: ref, Key: key[:], AttemptId: string(d.Attempt), Owner: owner.Proto(), EndpointId: "bank-1", Outcome: pb.OutcomeKind_OUTCOME_KIND_COMPLETED}
		_, err := service.Server().Accept(b.Context(), marshalRoundTrip(b, &accept, &pb.AcceptRequest{}))
		assert.NilError(b, err)
		_, err = service.Server().Finish(b.Context(), marshalRoundTrip(b, &finish, &pb.FinishRequest{}))
		assert.NilError(b, err)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(service.replica.RecordCount()), "bytes/record")
	runtime.KeepAlive(service)
}

func marshalRoundTrip[M proto.Message](b *testing.B, from, to M) M {
	data, err := proto.Marshal(from)
	assert.NilError(b, err)
	assert.NilError(b, proto.Unmarshal(data, to))
	return to
}
