package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// The keys of a test fleet.
const (
	operatorKey = "e2e-operator"
	endpointKey = "e2e-endpoint"
	teamKey     = "e2e-team"
)

// testFleet is a fleet of daemon processes whose links can be cut.
type testFleet struct {
	folder    string
	prefix    string // first three octets of the loopback addresses
	links     *links
	instances []*instance
	operator  *operator.Client
}

// fleetPlan is the shape of a test fleet.
type fleetPlan struct {
	zones        []string // one for each instance, in order
	control      int      // the number of first instances that are control instances too
	timeoutsYAML string   // YAML lines below "timeouts:"
	daemonYAML   string   // YAML lines of each daemon's own file
}

// maxParallelFleets bounds the fleets that run at the same time, so that no lease
// is lost for want of processor time.
const maxParallelFleets = 3

var fleetSlots = make(chan struct{}, maxParallelFleets)

const (
	firstSecondOctet = 16 // 127.16.0 is the first prefix
	secondOctets     = 200
	thirdOctets      = 250
)

var prefixCounter atomic.Uint32

func init() { prefixCounter.Store(rand.Uint32N(secondOctets * thirdOctets)) }

// nextPrefix returns an address prefix that no other fleet of this process uses.
// The first one is random, so that parallel test processes rarely collide.
func nextPrefix() string {
	n := int(prefixCounter.Add(1) % (secondOctets * thirdOctets))
	return fmt.Sprintf("127.%d.%d", firstSecondOctet+n/thirdOctets, n%thirdOctets)
}

// startFleet starts daemons, initialises the fleet and applies its settings.
func startFleet(t *testing.T, p fleetPlan) *testFleet {
	t.Helper()
	f := newFleet(t, p)
	for _, i := range f.instances {
		i.start(t)
	}
	f.initialise(t, p)
	f.awaitCurrent(t, f.instances...)
	return f
}

// newFleet prepares a fleet without starting it, and marks the test as parallel.
func newFleet(t *testing.T, p fleetPlan) *testFleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &testFleet{folder: t.TempDir(), prefix: nextPrefix(), links: newLinks()}
	for n, zone := range p.zones {
		f.addInstance(t, n, zone, n < p.control)
	}
	f.writeKeys(t)
	for _, i := range f.instances {
		f.writeDaemonConfig(t, i, p.daemonYAML)
	}
	f.operator = f.newOperator(t)
	return f
}

func (f *testFleet) addInstance(t *testing.T, n int, zone string, control bool) {
	t.Helper()
	roles := "entry"
	if control {
		roles = "entry, control"
	}
	i := &instance{
		id:    fmt.Sprintf("i%d", n),
		ip:    fmt.Sprintf("%s.%d", f.prefix, 1+n),
		zone:  zone,
		roles: roles,
	}
	i.folder = filepath.Join(f.folder, i.id)
	assert.NilError(t, os.MkdirAll(i.folder, 0o755))
	f.links.forward(t, f.advertisedAddress(i), i.address(rpcPort))
	t.Cleanup(func() { i.cleanup(t) })
	f.instances = append(f.instances, i)
}

// advertisedAddress returns the address of i's forwarder, which other daemons use.
func (f *testFleet) advertisedAddress(i *instance) string {
	last := i.ip[strings.LastIndex(i.ip, ".")+1:]
	return fmt.Sprintf("%s.1%02s:%d", f.prefix, last, rpcPort)
}

func (f *testFleet) writeKeys(t *testing.T) {
	t.Helper()
	arguments := []string{"certs", "--folder", filepath.Join(f.folder, "keys")}
	for _, i := range f.instances {
		arguments = append(arguments, i.id)
	}
	out, err := exec.Command(programPath("hyssopsail"), arguments...).CombinedOutput()
	assert.NilError(t, err, "%s", out)
}

func (f *testFleet) keyPath(name string) string { return filepath.Join(f.folder, "keys", name) }

func (f *testFleet) writeDaemonConfig(t *testing.T, i *instance, more string) {
	t.Helper()
	var control []string
	for _, other := range f.instances {
		if strings.Contains(other.roles, "control") {
			control = append(control, fmt.Sprintf("%q", f.advertisedAddress(other)))
		}
	}
	data := ""
	if strings.Contains(i.roles, "control") {
		data = "data_folder: " + filepath.Join(i.folder, "data")
	}
	// Until the first retry window is over, a daemon allows fewer retries; with the
	// default of 10s that would be most of a test.
	retries := ""
	if strings.Contains(i.roles, "entry") {
		retries = "retries: {window: 1s}\n"
	}
	text := fmt.Sprintf(`instance_id: %s
availability_zone: %s
roles: [%s]
%s
control_addresses: [%s]
listeners:
  rpc: {listen: %q, advertise: %q}
  callers: {listen: %q}
  endpoints: {listen: %q}
  operators: {listen: %q}
tls: {authority: %s, certificate: %s, key: %s}
fleet_secret_file: %s
log_level: debug
%s%s`, i.id, i.zone, i.roles, data, strings.Join(control, ", "),
		i.address(rpcPort), f.advertisedAddress(i), i.address(callersPort), i.address(endpointsPort), i.address(operatorsPort),
		f.keyPath("authority.pem"), f.keyPath(i.id+".pem"), f.keyPath(i.id+"-key.pem"), f.keyPath("fleet-secret.hex"), retries, more)
	assert.NilError(t, os.WriteFile(filepath.Join(i.folder, "daemon.yaml"), []byte(text), 0o644))
}

func (f *testFleet) newOperator(t *testing.T) *operator.Client {
	return f.operatorClient(t, operatorKey)
}

func (f *testFleet) operatorClient(t *testing.T, key string, at ...*instance) *operator.Client {
	t.Helper()
	secure, err := operator.ClientTLS(f.keyPath("authority.pem"))
	assert.NilError(t, err)
	if len(at) == 0 {
		at = f.instances
	}
	var addresses []string
	for _, i := range at {
		addresses = append(addresses, i.address(operatorsPort))
	}
	return operator.NewClient(operator.ClientOptions{Addresses: addresses, Key: key, TLS: secure})
}

// callTimeout bounds one call, and most waits, of a test.
const callTimeout = 20 * time.Second

func callContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

func (f *testFleet) initialise(t *testing.T, p fleetPlan) {
	t.Helper()
	secret, err := os.ReadFile(f.keyPath("fleet-secret.hex"))
	assert.NilError(t, err)
	bootstrap := f.operatorClient(t, strings.TrimSpace(string(secret)))
	var members []*pb.Member
	for _, i := range f.instances[:p.control] {
		members = append(members, &pb.Member{InstanceId: i.id, RpcAddress: f.advertisedAddress(i)})
	}
	eventually(t, 10*time.Second, func() error {
		_, err := bootstrap.Init(callContext(t), &pb.InitRequest{FleetId: "e2e", Members: members})
		return err
	})
	eventually(t, 10*time.Second, func() error {
		return f.applySubtree(t, bootstrap, settings.FleetSubtree, 0, "boot-fleet", fleetYAML(p))
	})
	eventually(t, 10*time.Second, func() error {
		return f.applySubtree(t, f.operator, "teams/t", 0, "boot-team", teamYAML("t", teamKey, p.zoneList()...))
	})
}

// applySubtree applies a subtree and returns an error unless it is accepted and in
// force within 5 s.
func (f *testFleet) applySubtree(t *testing.T, by *operator.Client, name string, expected uint64, id, yaml string) error {
	t.Helper()
	reply, err := by.Change(callContext(t), &pb.ChangeRequest{
		Change:        &pb.ChangeSubtree{Name: name, ExpectedVersion: expected, ChangeId: id, Yaml: []byte(yaml)},
		WaitInForceMs: 5000,
	})
	if err != nil {
		return err
	}
	if reply.GetResult().GetStatus() != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return fmt.Errorf("%s: %s %s", name, reply.GetResult().GetStatus(), reply.GetResult().GetDetail())
	}
	if !reply.GetInForce() {
		return fmt.Errorf("%s: not in force at %v", name, reply.GetPendingInstances())
	}
	return nil
}

func (p fleetPlan) zoneList() []string {
	return slices.Compact(slices.Sorted(slices.Values(p.zones)))
}

func fleetYAML(p fleetPlan) string {
	var b strings.Builder
	b.WriteString("availability_zones:\n")
	for _, zone := range p.zoneList() {
		fmt.Fprintf(&b, "  - {name: %s, region: r}\n", zone)
	}
	b.WriteString("links:\n")
	for _, from := range p.zoneList() {
		for _, to := range p.zoneList() {
			fmt.Fprintf(&b, "  - {from: %s, to: %s, rate: 10GB/s, delay: 200us}\n", from, to)
		}
	}
	fmt.Fprintf(&b, `models:
  - {name: m, versions: ["1"], kv_bytes_per_token: 1024B, max_tokens: 32768, load_time: 5s, weight_bytes: 1GB}
services:
  - name: s
    timeout: 5s
    routes:
      - {method: POST, prefix: /once, idempotent: false}
      - {method: "*", prefix: /, idempotent: true}
endpoint_key_hashes: [%q]
operators:
  - {name: o, key_hash: %q, subtrees: ["*"]}
weight_store: {rate: 1GB/s, concurrent_loads: 2}
caller_kinds:
  - {kind: any, patience: 10s, priority: 5}
`, keyhash.Of(endpointKey), keyhash.Of(operatorKey))
	if p.timeoutsYAML != "" {
		b.WriteString("timeouts:\n" + p.timeoutsYAML)
	}
	return b.String()
}

func teamYAML(name, key string, zones ...string) string {
	return fmt.Sprintf(`team: %s
key_hashes: [%q]
permitted_zones: [%s]
models: [m]
services: [s]
targets: {first_token: 1600ms, token_gap: 38ms}
`, name, keyhash.Of(key), strings.Join(zones, ", "))
}

// awaitCurrent waits until the instances are ready.
func (f *testFleet) awaitCurrent(t *testing.T, instances ...*instance) {
	t.Helper()
	for _, i := range instances {
		eventually(t, 15*time.Second, func() error {
			return checkReady(t, i)
		})
	}
}

// cutOneWay drops all bytes from one instance to another, or ends that.
func (f *testFleet) cutOneWay(from, to *instance, cut bool) {
	f.links.setCut(direction{from.ip, to.ip}, cut)
}

// blockIncoming drops all bytes from other instances to i, or ends that.
func (f *testFleet) blockIncoming(i *instance, cut bool) {
	for _, other := range f.others(i) {
		f.cutOneWay(other, i, cut)
	}
}

// blockOutgoing drops all bytes from i to other instances, or ends that.
func (f *testFleet) blockOutgoing(i *instance, cut bool) {
	for _, other := range f.others(i) {
		f.cutOneWay(i, other, cut)
	}
}

// isolate drops all bytes between i and the other instances, or ends that.
func (f *testFleet) isolate(i *instance, cut bool) {
	f.blockIncoming(i, cut)
	f.blockOutgoing(i, cut)
}

// awaitLeader waits for a leader among these instances and returns it.
func (f *testFleet) awaitLeader(t *testing.T, among ...*instance) *instance {
	t.Helper()
	var found *instance
	eventually(t, 15*time.Second, func() error {
		var seen []string
		for _, i := range among {
			status, err := f.operatorClient(t, operatorKey, i).Status(callContext(t), nil)
			seen = append(seen, fmt.Sprintf("%s says %q (%v)", i.id, status.GetLeaderInstance(), err))
			if err != nil || status.GetLeaderInstance() != i.id {
				continue
			}
			found = i
			return nil
		}
		return fmt.Errorf("no leader: %s", strings.Join(seen, ", "))
	})
	return found
}

func (f *testFleet) others(not ...*instance) []*instance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(i *instance) bool { return slices.Contains(not, i) })
}
