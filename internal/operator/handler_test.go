package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// stubControl returns the reply and error set by the test and records the last change.
type stubControl struct {
	Control
	change *pb.ChangeRequest
	reply  *pb.ChangeReply
	err    error
}

func (s *stubControl) Change(_ context.Context, in *pb.ChangeRequest) (*pb.ChangeReply, error) {
	s.change = in
	return s.reply, s.err
}

func (s *stubControl) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return &pb.StatusReply{FleetId: "f1"}, s.err
}

func (s *stubControl) Init(_ context.Context, in *pb.InitRequest) (*pb.InitReply, error) {
	return &pb.InitReply{FleetId: in.FleetId}, s.err
}

func (s *stubControl) GetSettings(context.Context, *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	documents := []*pb.SubtreeDocument{{Name: "fleet", Yaml: []byte("f")}, {Name: "teams/a", Yaml: []byte("a")}, {Name: "teams/b", Yaml: []byte("b")}}
	return &pb.GetSettingsReply{Documents: documents}, s.err
}

var (
	secret    = config.Secret{9}
	operators = []settings.Operator{
		{Name: "root", KeyHash: keyhash.Of("root-key"), Subtrees: []string{"*"}},
		{Name: "lead", KeyHash: keyhash.Of("lead-key"), Subtrees: []string{"teams/a"}},
	}
)

func newHandlerFor(s *stubControl, tree *settings.Tree) http.Handler {
	return NewHandler(Options{
		Control:  s,
		Tree:     func() *settings.Tree { return tree },
		Secret:   secret,
		Now:      func() time.Time { return time.UnixMilli(77) },
		Timeline: func(context.Context, *pb.TimelineQuery) (TimelineReply, error) { return TimelineReply{}, nil },
	})
}

func bootstrapped() *settings.Tree {
	tree := settings.EmptyTree()
	tree.Fleet.Operators = operators
	return tree
}

func request(h http.Handler, key, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, r)
	return recorder
}

// accepted is the reply to a change that made version 1.
var accepted = &pb.ChangeReply{Result: &pb.ChangeResult{Status: pb.ChangeStatus_CHANGE_STATUS_ACCEPTED, Version: 1}}

// startServer serves h until the test ends and returns the server's host:port.
func startServer(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const changeA = `{"change":{"name":"teams/a","expected_version":"3","change_id":"c1","yaml":"eA==","author":"root"}}`

// Guards against access beyond a key's scope: reading or changing another team's subtree
// with one team's key, or using the fleet's secret after the fleet has operators.
func TestAuthorization(t *testing.T) {
	changeB := strings.Replace(changeA, "teams/a", "teams/b", 1)
	firstFleet := `{"change":{"name":"fleet","change_id":"c1","yaml":"eA=="}}`
	laterFleet := `{"change":{"name":"fleet","expected_version":"1","change_id":"c1","yaml":"eA=="}}`
	empty := settings.EmptyTree()
	for _, row := range []struct {
		name, key, method, path, body string
		tree                          *settings.Tree
		want                          int
	}{
		{"own team", "lead-key", "POST", "/v1/settings", changeA, bootstrapped(), 200},
		{"other team", "lead-key", "POST", "/v1/settings", changeB, bootstrapped(), 403},
		{"fleet by a lead", "lead-key", "POST", "/v1/settings", laterFleet, bootstrapped(), 403},
		{"any by root", "root-key", "POST", "/v1/settings", changeB, bootstrapped(), 200},
		{"no key", "", "POST", "/v1/settings", changeA, bootstrapped(), 401},
		{"unknown key", "root-kez", "GET", "/v1/status", "", bootstrapped(), 401},
		{"status by a lead", "lead-key", "GET", "/v1/status", "", bootstrapped(), 200},
		{"read own", "lead-key", "GET", "/v1/settings?name=teams/a", "", bootstrapped(), 200},
		{"read other", "lead-key", "GET", "/v1/settings?name=teams/b", "", bootstrapped(), 403},
		{"drain by a lead", "lead-key", "POST", "/v1/drain", `{"instance_id":"x"}`, bootstrapped(), 403},
		{"members by a lead", "lead-key", "POST", "/v1/members", `{"member":{"instance_id":"x"}}`, bootstrapped(), 403},
		{"init by a lead", "lead-key", "POST", "/v1/init", `{}`, bootstrapped(), 403},
		{"time line of all by a lead", "lead-key", "GET", "/v1/timeline", "", bootstrapped(), 403},
		{"time line of own team", "lead-key", "GET", "/v1/timeline?team=a", "", bootstrapped(), 200},
		{"time line of other team", "lead-key", "GET", "/v1/timeline?team=b", "", bootstrapped(), 403},
		{"secret after bootstrap", secret.Hex(), "POST", "/v1/settings", firstFleet, bootstrapped(), 401},
		{"secret before bootstrap", secret.Hex(), "POST", "/v1/settings", firstFleet, empty, 200},
		{"secret, no tree at all", secret.Hex(), "POST", "/v1/init", `{"fleet_id":"f","members":[{"instance_id":"a"}]}`, nil, 200},
		// A lagging instance has no fleet subtree yet.
		{"secret on a lagging instance", secret.Hex(), "POST", "/v1/settings", laterFleet, empty, 403},
		{"secret changes a team", secret.Hex(), "POST", "/v1/settings", changeA, empty, 403},
		{"secret drains", secret.Hex(), "POST", "/v1/drain", `{"instance_id":"x"}`, empty, 403},
		{"secret adds a member", secret.Hex(), "POST", "/v1/members", `{"member":{"instance_id":"x"}}`, empty, 403},
		{"operator's key before bootstrap", "root-key", "GET", "/v1/status", "", empty, 401},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := request(newHandlerFor(&stubControl{reply: accepted}, row.tree), row.key, row.method, row.path, row.body)
			assert.Equal(t, got.Code, row.want, got.Body.String())
		})
	}
}

// Guards against accepting a withdrawn key: an instance that receives no settings updates
// but still reaches the leader would accept changes with that key minutes later.
func TestLaggingInstanceRefusesChangesByWithdrawnKey(t *testing.T) {
	s := &stubControl{reply: accepted}
	lagging := NewHandler(Options{Control: s, Tree: bootstrapped, Secret: secret, Now: time.Now, Current: func() bool { return false }})
	for _, path := range []string{"/v1/settings", "/v1/members", "/v1/drain"} {
		assert.Equal(t, request(lagging, "root-key", "POST", path, changeA).Code, http.StatusServiceUnavailable, path)
	}
	assert.Assert(t, s.change == nil)
	assert.Equal(t, request(lagging, "root-key", "GET", "/v1/status", "").Code, http.StatusOK)
	fresh := NewHandler(Options{Control: s, Tree: settings.EmptyTree, Secret: secret, Now: time.Now, Current: func() bool { return false }})
	first := `{"change":{"name":"fleet","change_id":"c1","yaml":"eA=="}}`
	assert.Equal(t, request(fresh, secret.Hex(), "POST", "/v1/settings", first).Code, http.StatusOK)
}

func TestSettingsListIsLimitedToScope(t *testing.T) {
	for key, want := range map[string]int{"root-key": 3, "lead-key": 1} {
		got := request(newHandlerFor(&stubControl{}, bootstrapped()), key, "GET", "/v1/settings", "")
		assert.Equal(t, strings.Count(got.Body.String(), `"name"`), want, key)
	}
	got := request(newHandlerFor(&stubControl{}, settings.EmptyTree()), secret.Hex(), "GET", "/v1/settings", "")
	assert.Equal(t, strings.Count(got.Body.String(), `"name"`), 0)
}

func TestAuthorComesFromTheKey(t *testing.T) {
	s := &stubControl{reply: accepted}
	got := request(newHandlerFor(s, bootstrapped()), "lead-key", "POST", "/v1/settings", changeA)
	assert.Equal(t, got.Code, http.StatusOK)
	assert.Equal(t, s.change.Change.Author, "lead")
	assert.Equal(t, s.change.Change.ProposedUnixMs, int64(77))
	assert.Equal(t, s.change.Change.ExpectedVersion, uint64(3))
}

func TestReplyStatus(t *testing.T) {
	status := func(s pb.ChangeStatus) *pb.ChangeReply { return &pb.ChangeReply{Result: &pb.ChangeResult{Status: s}} }
	long := strings.Repeat("x", maxBodyBytes+1)
	for _, row := range []struct {
		name  string
		reply *pb.ChangeReply
		err   error
		body  string
		want  int
		text  string
	}{
		{"conflict", status(pb.ChangeStatus_CHANGE_STATUS_CONFLICT), nil, changeA, 409, "CONFLICT"},
		{"invalid", status(pb.ChangeStatus_CHANGE_STATUS_INVALID), nil, changeA, 422, "INVALID"},
		{"no leader", &pb.ChangeReply{LeaderAddress: "x"}, nil, changeA, 503, "has no leader now"},
		{"not reached", nil, trace.ConnectionProblem(nil, "gone"), changeA, 503, "gone"},
		{"not in time", nil, context.DeadlineExceeded, changeA, 503, "deadline"},
		{"other failure", nil, errors.New("odd"), changeA, 500, "odd"},
		{"not JSON", nil, nil, "{", 400, "not the message"},
		{"unknown field", nil, nil, `{"changes":{}}`, 400, "not the message"},
		{"oversized", nil, nil, long, 413, "too large"},
		{"no change ID", nil, nil, strings.Replace(changeA, `"c1"`, `""`, 1), 400, "change_id must have"},
		{"wait too long", nil, nil, strings.Replace(changeA, `{"change"`, `{"wait_in_force_ms":"600000","change"`, 1), 400, "wait_in_force_ms"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := request(newHandlerFor(&stubControl{reply: row.reply, err: row.err}, bootstrapped()), "root-key", "POST", "/v1/settings", row.body)
			assert.Equal(t, got.Code, row.want, got.Body.String())
			assert.Assert(t, cmp.Contains(got.Body.String(), row.text))
			assert.Assert(t, !strings.Contains(got.Body.String(), "root-key"))
		})
	}
	for _, path := range []string{"/v1/settings?version=x", "/v1/timeline?limit=10001", "/v1/timeline?since_ns=-1"} {
		assert.Equal(t, request(newHandlerFor(&stubControl{}, bootstrapped()), "root-key", "GET", path, "").Code, 400, path)
	}
	for _, path := range []string{"/v1/endpoints", "/metrics", "/healthz", "/"} {
		assert.Equal(t, request(newHandlerFor(&stubControl{}, bootstrapped()), "root-key", "GET", path, "").Code, 404, path)
	}
}

// Guards against a request failing because the first address refuses the connection or
// can't reach the leader, although the next instance would serve it.
func TestClientTriesNextInstance(t *testing.T) {
	noLeader := startServer(t, newHandlerFor(&stubControl{err: trace.ConnectionProblem(nil, "no leader")}, bootstrapped()))
	healthy := startServer(t, newHandlerFor(&stubControl{}, bootstrapped()))
	client := NewClient(ClientOptions{Addresses: []string{"127.0.0.1:1", noLeader, healthy}, Key: "lead-key"})
	reply, err := client.Status(context.Background(), nil)
	assert.NilError(t, err)
	assert.Equal(t, reply.FleetId, "f1")
	client = NewClient(ClientOptions{Addresses: []string{"127.0.0.1:1", noLeader}, Key: "lead-key"})
	_, err = client.Status(context.Background(), nil)
	assert.Assert(t, trace.IsConnectionProblem(err))
	client = NewClient(ClientOptions{Addresses: []string{healthy}, Key: "wrong"})
	_, err = client.Status(context.Background(), nil)
	var refused *ReplyError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Detail.Code, CodeUnauthorised)
}

// Guards against the first "settings apply" of a folder failing with "unavailable": the
// team subtrees are sent right after the fleet subtree, when no daemon's lease has been
// confirmed yet.
func TestClientRetriesUntilAnInstanceIsCurrent(t *testing.T) {
	checks := 0
	current := func() bool { checks++; return checks > 3 }
	starting := startServer(t, NewHandler(Options{Control: &stubControl{reply: accepted}, Tree: bootstrapped, Secret: secret, Now: time.Now, Current: current}))
	client := NewClient(ClientOptions{Addresses: []string{"127.0.0.1:1", starting}, Key: "root-key"})
	change := &pb.ChangeRequest{Change: &pb.ChangeSubtree{Name: "teams/a", ChangeId: "c1", Yaml: []byte("x")}}
	reply, err := client.Change(context.Background(), change)
	assert.NilError(t, err)
	assert.Equal(t, reply.GetResult().GetVersion(), uint64(1))
	assert.Equal(t, checks, 4)

	checks = -1_000_000
	client.retryTimeout = 0
	_, err = client.Change(context.Background(), change)
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
}

// Guards against the tool hanging forever when the first instance accepts the connection
// but never replies, as behind a network partition that drops packets.
func TestClientTimesOutOnUnresponsiveInstance(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = unresponsive.Close() }()
	healthy := startServer(t, newHandlerFor(&stubControl{}, bootstrapped()))
	client := NewClient(ClientOptions{Addresses: []string{unresponsive.Addr().String(), healthy}, Key: "lead-key"})
	client.addressTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	reply, err := client.Status(ctx, nil)
	assert.NilError(t, err)
	assert.Equal(t, reply.FleetId, "f1")
}

// FuzzBodies checks that no request body makes the handler panic or lets a team's operator
// change a subtree beyond its scope.
func FuzzBodies(f *testing.F) {
	for _, body := range []string{changeA, `{}`, `{"change":null}`, `{"member":{"instance_id":"x"}}`, `[`, `{"change":{"name":"fleet","change_id":"c"}}`} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		s := &stubControl{reply: &pb.ChangeReply{Result: &pb.ChangeResult{}}}
		h := newHandlerFor(s, bootstrapped())
		for _, path := range []string{"/v1/settings", "/v1/init", "/v1/members", "/v1/drain"} {
			request(h, "lead-key", "POST", path, body)
		}
		if s.change != nil && s.change.Change.Name != "teams/a" {
			t.Fatalf("changed %q", s.change.Change.Name)
		}
	})
}
