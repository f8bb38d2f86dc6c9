package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/control"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// fakeGroup is a control group of one member: the real state machine without a log.
type fakeGroup struct {
	operator.Control // calls that a test doesn't expect panic
	mu               sync.Mutex
	machine          *control.Machine
	index            uint64
	repliesToLose    int // the number of changes still to apply without a reply
	pending          []string
	initialised      *pb.InitRequest
	drained          string
	member           *pb.ChangeMemberRequest
}

func newFakeGroup() *fakeGroup {
	return &fakeGroup{machine: control.NewMachine(control.MachineOptions{Check: settings.CheckChange, Build: settings.Build})}
}

func (f *fakeGroup) Change(_ context.Context, in *pb.ChangeRequest) (*pb.ChangeReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	command, err := proto.Marshal(&pb.Command{Body: &pb.Command_ChangeSubtree{ChangeSubtree: in.Change}})
	if err != nil {
		return nil, err
	}
	f.index++
	var result pb.CommandResult
	if err := proto.Unmarshal(f.machine.Apply(f.index, command), &result); err != nil {
		return nil, err
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return nil, trace.ConnectionProblem(nil, "the leader is gone")
	}
	return &pb.ChangeReply{Result: result.Change, InForce: len(f.pending) == 0, PendingInstances: f.pending}, nil
}

func (f *fakeGroup) GetSettings(_ context.Context, in *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	return &pb.GetSettingsReply{Documents: f.machine.Documents(in)}, nil
}

func (f *fakeGroup) Init(_ context.Context, in *pb.InitRequest) (*pb.InitReply, error) {
	f.initialised = in
	return &pb.InitReply{FleetId: in.FleetId}, nil
}

func (f *fakeGroup) Drain(_ context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	f.drained = in.InstanceId
	return &pb.DrainReply{}, nil
}

func (f *fakeGroup) ChangeMember(_ context.Context, in *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error) {
	f.member = in
	return &pb.ChangeMemberReply{Membership: &pb.Membership{Members: []*pb.Member{in.Member}}}, nil
}

func (f *fakeGroup) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return &pb.StatusReply{
		FleetId: "f1", LeaderInstance: "howrah-1", Term: 3,
		Members:   []*pb.MemberStatus{{Member: &pb.Member{InstanceId: "howrah-1", DiskId: "d1"}, LastContactMs: -1}},
		Instances: []*pb.InstanceStatus{{Instance: &pb.InstanceRecord{Id: "howrah-1", Entry: true, Control: true, Draining: true}, LastRenewalMs: 1500}},
	}, nil
}

// fixture is a daemon's operators' listener and a folder of files.
type fixture struct {
	t       *testing.T
	group   *fakeGroup
	address string
	folder  string
	args    []string // connection flags
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Setenv(keyVariable, "")
	f := &fixture{t: t, group: newFakeGroup(), folder: t.TempDir()}
	server := httptest.NewServer(operator.NewHandler(operator.Options{
		Control:   f.group,
		Tree:      f.group.machine.Tree,
		Secret:    config.Secret{1, 2, 3},
		Now:       time.Now,
		Endpoints: fakeEndpoints,
		Timeline:  fakeTimeline,
		Health:    http.NotFoundHandler(),
	}))
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	secret := f.file("secret", config.Secret{1, 2, 3}.Hex()+"\n")
	key := f.file("on-call.key", "example-sutokatha-on-call-key\n")
	f.args = []string{"--address", f.address, "--secret-file", secret, "--key-file", key}
	return f
}

func fakeEndpoints(context.Context) ([]*pb.EndpointDigest, error) {
	return []*pb.EndpointDigest{{Id: "decode-1", Role: "decode", Models: []string{"fibre-notes@v4"}, Slots: 20, Granted: 19, ChecksTokens: true}}, nil
}

func fakeTimeline(_ context.Context, query *pb.TimelineQuery) (operator.TimelineReply, error) {
	event := &pb.TimelineEvent{WallNs: 1e9, InstanceId: "howrah-1", Kind: "request.received", RequestId: query.RequestId, Team: query.Team}
	return operator.TimelineReply{Events: []*pb.TimelineEvent{event}, Unreachable: []string{"barasat-1"}}, nil
}

func (f *fixture) file(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.folder, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs the tool against the fixture's daemon.
func (f *fixture) run(args ...string) (code exitCode, out, errOut string) {
	return runTool(append(append([]string{}, f.args...), args...)...)
}

// ok runs the tool, requires success and returns its output.
func (f *fixture) ok(args ...string) string {
	f.t.Helper()
	code, out, errOut := f.run(args...)
	assert.Equal(f.t, code, exitOK, errOut)
	return out
}

func runTool(args ...string) (code exitCode, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}
