package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// startTimeout bounds each wait for a condition, such as a step of a fleet's start.
const startTimeout = 60 * time.Second

// testFleet is a running fleet with its emulated endpoints.
type testFleet struct {
	options   options
	folder    string
	instances []*instance
	standins  []*process
	client    *operator.Client
	versions  map[string]uint64 // latest known versions of the subtrees
	changes   int
}

var fleetsStarted int

// startFleet starts count daemons and applies the settings of the fleet and of
// one team. If there are more daemons than control instances, the control instances
// serve no callers, as in a large deployment.
func startFleet(ctx context.Context, o options, count int) (*testFleet, error) {
	fleetsStarted++
	f := &testFleet{options: o, folder: filepath.Join(o.folder, fmt.Sprint("fleet-", fleetsStarted)), versions: make(map[string]uint64)}
	err := f.start(ctx, count)
	if err != nil {
		f.stop()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

func (f *testFleet) start(ctx context.Context, count int) error {
	if err := f.planInstances(count); err != nil {
		return trace.Wrap(err)
	}
	for _, i := range f.instances {
		if err := i.start(f.options.binFolder); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := f.connect(); err != nil {
		return trace.Wrap(err)
	}
	if err := f.init(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := f.applyChange(ctx, settings.TeamPrefix+teamName(0), teamDocument(0, 0)); err != nil {
		return trace.Wrap(err)
	}
	return waitUntil(ctx, "all daemons are in the view", func() bool {
		status, err := f.client.Status(ctx, &pb.StatusRequest{})
		return err == nil && len(status.GetInstances()) == count
	})
}

func (f *testFleet) planInstances(count int) error {
	keys := filepath.Join(f.folder, "keys")
	ids := make([]fleet.InstanceID, count)
	for n := range count {
		i := &instance{ID: fmt.Sprintf("i%02d", n), Zone: zones[n%len(zones)], Keys: keys, Roles: []string{roleEntry}}
		i.Folder = filepath.Join(f.folder, i.ID)
		if n < f.options.control {
			i.Roles = []string{roleControl}
			if count <= f.options.control {
				i.Roles = []string{roleEntry, roleControl}
			}
		}
		if err := i.choosePorts(loopbackIP(fleetsStarted, n)); err != nil {
			return trace.Wrap(err)
		}
		ids[n] = fleet.InstanceID(i.ID)
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		for _, c := range f.instances[:f.options.control] {
			i.Control = append(i.Control, c.RPC)
		}
	}
	_, err := certs.Write(certs.Options{Folder: keys, Instances: ids, Now: time.Now()})
	return trace.Wrap(err)
}

func (f *testFleet) connect() error {
	var addresses []string
	for _, i := range f.instances[:f.options.control] {
		addresses = append(addresses, i.Operators)
	}
	var err error
	f.client, err = f.operatorOf(operatorKey, addresses...)
	return trace.Wrap(err)
}

// operatorOf returns an operator client that uses only the given addresses.
func (f *testFleet) operatorOf(key string, addresses ...string) (*operator.Client, error) {
	secure, err := operator.ClientTLS(filepath.Join(f.folder, "keys", certs.AuthorityFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return operator.NewClient(operator.ClientOptions{Addresses: addresses, Key: key, TLS: secure}), nil
}

func (f *testFleet) init(ctx context.Context) error {
	secret, err := os.ReadFile(filepath.Join(f.folder, "keys", certs.SecretFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	client, err := f.operatorOf(strings.TrimSpace(string(secret)), f.instances[0].Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	request := &pb.InitRequest{FleetId: "capacity"}
	for _, i := range f.instances[:f.options.control] {
		request.Members = append(request.Members, &pb.Member{InstanceId: i.ID, RpcAddress: i.RPC})
	}
	var last error
	err = waitUntil(ctx, "the fleet is made", func() bool {
		_, last = client.Init(ctx, request)
		return last == nil
	})
	if err != nil {
		return trace.Wrap(last)
	}
	document := &pb.ChangeRequest{Change: &pb.ChangeSubtree{
		Name: settings.FleetSubtree, ChangeId: "first", Yaml: []byte(fleetDocument()),
	}}
	err = waitUntil(ctx, "the fleet subtree is accepted", func() bool {
		_, last = client.Change(ctx, document)
		return last == nil
	})
	if err != nil {
		return trace.Wrap(last)
	}
	f.versions[settings.FleetSubtree] = 1
	return waitUntil(ctx, "the operator is known", func() bool {
		_, err := f.client.Status(ctx, &pb.StatusRequest{})
		return err == nil
	})
}

// stop stops all processes, endpoints first.
func (f *testFleet) stop() {
	f.stopStandins()
	for _, i := range f.instances {
		if i.process != nil {
			i.process.signal(syscall.SIGTERM)
		}
	}
	for _, i := range f.instances {
		if i.process != nil {
			i.process.wait()
		}
	}
	_ = os.RemoveAll(f.folder)
}

func (f *testFleet) stopStandins() {
	for _, p := range f.standins {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range f.standins {
		p.wait()
	}
	f.standins = nil
}

// forEachInstance calls do for all instances concurrently.
func (f *testFleet) forEachInstance(do func(n int, i *instance) error) error {
	var group errgroup.Group
	for n, i := range f.instances {
		group.Go(func() error { return do(n, i) })
	}
	return group.Wait()
}

func (f *testFleet) entries() []*instance {
	var list []*instance
	for _, i := range f.instances {
		if i.IsEntry() {
			list = append(list, i)
		}
	}
	return list
}

// leader returns the instance that leads the control group.
func (f *testFleet) leader(ctx context.Context) (*instance, error) {
	var found *instance
	err := waitUntil(ctx, "there is a leader", func() bool {
		status, err := f.client.Status(ctx, &pb.StatusRequest{})
		if err != nil {
			return false
		}
		for _, i := range f.instances {
			if i.ID == status.GetLeaderInstance() {
				found = i
			}
		}
		return found != nil
	})
	return found, err
}

// waitUntil polls a condition until it holds, for at most startTimeout.
func waitUntil(ctx context.Context, what string, holds func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			return trace.LimitExceeded("not so within %v: %s", startTimeout, what)
		}
		if err := sleepFor(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func sleepFor(ctx context.Context, wait time.Duration) error {
	if !sleep.For(ctx, wait) {
		return ctx.Err()
	}
	return nil
}
