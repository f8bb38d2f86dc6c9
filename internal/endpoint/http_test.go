package endpoint

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// singleDaemon returns a daemon that is the home of all endpoints, without its
// loops.
func singleDaemon() *daemon {
	self := instance("a", zoneNear)
	tree := &settings.Tree{Fleet: settings.Fleet{Zones: []settings.Zone{{Name: zoneNear}, {Name: zoneFar}}}}
	d := &daemon{source: testkit.NewSource(self, &membership.State{View: viewOf(1, self), Tree: tree}), engine: &fakeEngine{}}
	d.home = NewHome(HomeOptions{Source: d.source, Engine: d.engine, CheckKey: func(k string) bool { return k == "key" }})
	return d
}

const validHeartbeat = `{"announcement":{"id":"e1","incarnation":2,"availability_zone":"howrah","address":"127.0.0.1:9","role":"decode","slots":4},"held":[],"sequence":1}`

func TestEndpointListenerContract(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(validHeartbeat, old, new, 1) }
	for name, test := range map[string]struct {
		path string
		body string
		key  string
		want int
		code engineapi.Code
	}{
		"good":                {body: validHeartbeat, want: 200},
		"repeated":            {body: validHeartbeat, want: 200},
		"late sequence":       {body: swap(`"sequence":1`, `"sequence":0`), want: 200},
		"earlier incarnation": {body: swap(`"incarnation":2`, `"incarnation":1`), want: 409, code: engineapi.CodeStale},
		"no key":              {body: validHeartbeat, key: "-", want: 401, code: engineapi.CodeBadRequest},
		"wrong key":           {body: validHeartbeat, key: "other", want: 401, code: engineapi.CodeBadRequest},
		"truncated":           {body: validHeartbeat[:40], want: 400, code: engineapi.CodeBadRequest},
		"not JSON":            {body: "slots: 4", want: 400, code: engineapi.CodeBadRequest},
		"two values":          {body: validHeartbeat + validHeartbeat, want: 400, code: engineapi.CodeBadRequest},
		"oversized":           {body: swap(`"held":[]`, `"held":[`+strings.Repeat(" ", maxBodyBytes)+`]`), want: 413, code: engineapi.CodeBadRequest},
		"no id":               {body: swap(`"e1"`, `""`), want: 400, code: engineapi.CodeBadRequest},
		"long id":             {body: swap(`e1`, strings.Repeat("e", maxNameLen+1)), want: 400, code: engineapi.CodeBadRequest},
		"no slots":            {body: swap(`"slots":4`, `"slots":0`), want: 400, code: engineapi.CodeBadRequest},
		"endless slots":       {body: swap(`"slots":4`, `"slots":2000000000`), want: 400, code: engineapi.CodeBadRequest},
		"no address":          {body: swap(`127.0.0.1:9`, `nowhere`), want: 400, code: engineapi.CodeBadRequest},
		"undeclared zone":     {body: swap(`howrah`, `atlantis`), want: 400, code: engineapi.CodeBadRequest},
		"unknown role":        {body: swap(`"decode"`, `"chef"`), want: 400, code: engineapi.CodeBadRequest},
		"plain, no service":   {body: swap(`"decode"`, `"plain"`), want: 400, code: engineapi.CodeBadRequest},
		"held without attempt": {body: swap(`"held":[]`, `"held":[{"attempt_id":""}]`), want: 400,
			code: engineapi.CodeBadRequest},
		"too many holds": {body: swap(`"held":[]`, `"held":[`+strings.Repeat(`{"attempt_id":"x"},`, maxHeld)+`{"attempt_id":"x"}]`),
			want: 400, code: engineapi.CodeBadRequest},
		"leave without id":       {path: "leave", body: `{}`, want: 400, code: engineapi.CodeBadRequest},
		"events of nobody":       {path: "cache-events", body: `{"id":"e7","events":[{"sequence":5}]}`, want: 200},
		"announcement":           {path: "announce", body: `{"id":"e2","availability_zone":"howrah","address":"127.0.0.1:9","role":"both","slots":1}`, want: 200},
		"announcement, no slots": {path: "announce", body: `{"id":"e2"}`, want: 400, code: engineapi.CodeBadRequest},
		"no such path":           {path: "hold", body: `{}`, want: 404},
	} {
		t.Run(name, func(t *testing.T) {
			d := singleDaemon()
			assert.Equal(t, d.post("/v1/endpoints/heartbeat", []byte(validHeartbeat), nil), 200)
			path, key := "heartbeat", "key"
			if test.path != "" {
				path = test.path
			}
			if test.key != "" {
				key = test.key
			}
			r := httptest.NewRequest(http.MethodPost, "/v1/endpoints/"+path, strings.NewReader(test.body))
			r.Header.Set("Authorization", "Bearer "+key)
			w := httptest.NewRecorder()
			d.home.Handler().ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.want, w.Body.String())
			if test.code != "" {
				assert.Assert(t, bytes.Contains(w.Body.Bytes(), []byte(`"code":"`+string(test.code)+`"`)), w.Body.String())
			}
		})
	}
}

// A daemon without a view can name no home; the endpoint asks another one.
func TestAnnounceWithoutAView(t *testing.T) {
	d := singleDaemon()
	d.source.Set(&membership.State{})
	assert.Equal(t, d.post("/v1/endpoints/heartbeat", []byte(validHeartbeat), nil), 503)
}

func TestGrantMessageContract(t *testing.T) {
	good := func() *pb.GrantRequest {
		return &pb.GrantRequest{EndpointId: "e1", AttemptId: "x", Kind: "decode", Owner: &pb.Owner{InstanceId: "a", Incarnation: 1}}
	}
	for name, test := range map[string]struct {
		change func(r *pb.GrantRequest)
		ok     bool
	}{
		"good":              {func(*pb.GrantRequest) {}, true},
		"no endpoint":       {func(r *pb.GrantRequest) { r.EndpointId = "" }, false},
		"no attempt":        {func(r *pb.GrantRequest) { r.AttemptId = "" }, false},
		"no owner":          {func(r *pb.GrantRequest) { r.Owner = nil }, false},
		"kind both":         {func(r *pb.GrantRequest) { r.Kind = "both" }, false},
		"oversized team":    {func(r *pb.GrantRequest) { r.Team = strings.Repeat("t", maxNameLen+1) }, false},
		"short fingerprint": {func(r *pb.GrantRequest) { r.Fingerprint = []byte{1} }, false},
		"endless wait":      {func(r *pb.GrantRequest) { r.WaitMs = 1 << 63 }, true},
		"share below zero":  {func(r *pb.GrantRequest) { r.Share = -5 }, true},
		"huge priority":     {func(r *pb.GrantRequest) { r.Priority = 1 << 31 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := good()
			test.change(r)
			a, ok := slotRequestFromProto(r, epoch)
			assert.Equal(t, ok, test.ok)
			if ok {
				assert.Assert(t, a.maxWait <= maxWait && a.share >= minShare && a.priority <= 9)
			}
			d := singleDaemon()
			_, err := d.home.Grant(t.Context(), r)
			assert.Equal(t, err == nil, test.ok)
		})
	}
}

func TestDisownContract(t *testing.T) {
	d := singleDaemon()
	d.home.options.Running = func(a fleet.AttemptID) bool { return a == "mine" }
	held := func(attempt, instance string, incarnation uint64) *pb.HeldAttempt {
		return &pb.HeldAttempt{AttemptId: attempt, Owner: &pb.Owner{InstanceId: instance, Incarnation: incarnation}}
	}
	reply, err := d.home.Disown(t.Context(), &pb.DisownRequest{Held: []*pb.HeldAttempt{
		held("mine", "a", 1), held("gone", "a", 1), held("before", "a", 0), held("future", "a", 2), held("other", "b", 1), {},
	}})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Disowned, []string{"gone", "before"})
	_, err = d.home.Disown(t.Context(), &pb.DisownRequest{Held: make([]*pb.HeldAttempt, maxHeld+1)})
	assert.Assert(t, err != nil)
}

// A caller disconnects while its request waits for a slot. It must not get the
// slot that is released later.
func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	withPair(t, 1, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		first := other.mustAcquire(t, "x1")
		hurried, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer stop()
		_, _, err := other.client.Acquire(hurried, grantRequest("e1", "x2", 3*time.Second))
		assert.Assert(t, err != nil)
		time.Sleep(50 * time.Millisecond)
		other.finish(first)
		synctest.Wait()
		assert.Equal(t, home.used("e1"), 0)
	})
}

func FuzzEndpointListener(f *testing.F) {
	f.Add("heartbeat", []byte(validHeartbeat))
	f.Add("announce", []byte(`{"id":"e2","availability_zone":"howrah","address":"127.0.0.1:9","role":"both","slots":1}`))
	f.Add("leave", []byte(`{"id":"e1","incarnation":1}`))
	f.Add("cache-events", []byte(`{"id":"e1","incarnation":2,"events":[{"sequence":1,"prefix":5,"stored":true}]}`))
	f.Add("heartbeat", []byte(`{"announcement":{"id":"e1","incarnation":2,"availability_zone":"howrah","address":":","role":"both","slots":4,"models":[{"model":"m"}]},"held":[{"attempt_id":"x","age_ms":-1}],"load":{"age_ms":-5,"prefill_queue_ms":1e300},"sequence":7}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if strings.ContainsAny(path, " /?#%\\") || !isPlain(path) {
			return
		}
		d := singleDaemon()
		d.post("/v1/endpoints/heartbeat", []byte(validHeartbeat), nil)
		code := d.post("/v1/endpoints/"+path, body, nil)
		if code >= 500 {
			t.Fatalf("%s gave %d", path, code)
		}
		_, err := d.home.Digest(t.Context(), &pb.DigestRequest{})
		assert.NilError(t, err)
	})
}

func isPlain(path string) bool {
	for _, r := range path {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
