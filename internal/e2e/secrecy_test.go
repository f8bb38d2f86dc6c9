package e2e_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Request bodies, query strings, answers, request keys and the keys of teams,
// operators and endpoints must not appear in logs, metrics, the time line or files.
func TestBodiesAndKeysAreWrittenNowhere(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	e := &endpointSet{fleet: f}
	e.add(t, "p", "a", fleet.RolePrefill)
	e.add(t, "d", "a", fleet.RoleDecode)
	e.add(t, "s1", "a", fleet.RolePlain)
	e.awaitServing(t)
	e.awaitService(t)
	const bodyMark, keyMark, pathMark = "marked-body-5b1c", "marked-key-77d0", "marked-query-9a3e"
	r := request{prompt: bodyMark, maxTokens: 20, stream: true, idempotencyKey: keyMark}
	a := mustSendCompletion(t, f.instances[0], r)
	assert.Assert(t, a.isComplete(), "%+v", a)
	once := mustCallService(t, f.instances[1], "/once?q="+pathMark, keyMark+"-once", markedBody(bodyMark))
	assert.Equal(t, once.status, http.StatusOK, "%+v", once)
	refused := mustSendCompletion(t, f.instances[2], request{prompt: bodyMark, idempotencyKey: keyMark, teamKey: "wrong-" + keyMark})
	assert.Equal(t, refused.status, http.StatusUnauthorized)

	secrets := []string{bodyMark, keyMark, pathMark, expectedText(r), teamKey, operatorKey, endpointKey}
	for place, text := range f.collectOutput(t) {
		for _, secret := range secrets {
			assert.Assert(t, !bytes.Contains(text, []byte(secret)), "%s holds %q", place, secret)
		}
	}
}

// collectOutput returns the logs, metrics, time line and data files of all daemons,
// by place. Key and settings files are left out, since they hold keys on purpose.
func (f *testFleet) collectOutput(t *testing.T) map[string][]byte {
	t.Helper()
	places := map[string][]byte{}
	for _, i := range f.instances {
		i.mu.Lock()
		places["log of "+i.id] = bytes.Clone(i.log.Bytes())
		i.mu.Unlock()
		places["metrics of "+i.id] = metricsPage(t, i)
		readFiles(t, filepath.Join(i.folder, "data"), places)
	}
	reply, err := f.operator.Timeline(callContext(t), &pb.TimelineQuery{})
	assert.NilError(t, err)
	assert.Assert(t, len(reply.Events) > 0)
	var events bytes.Buffer
	for _, event := range reply.Events {
		events.WriteString(event.String())
	}
	places["time line"] = events.Bytes()
	return places
}

func readFiles(t *testing.T, folder string, places map[string][]byte) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		places[path] = data
		return err
	})
	assert.NilError(t, err)
}

func metricsPage(t *testing.T, i *instance) []byte {
	t.Helper()
	sent, err := http.NewRequestWithContext(callContext(t), http.MethodGet, "https://"+i.address(operatorsPort)+"/metrics", nil)
	assert.NilError(t, err)
	// The certificate isn't verified: that doesn't matter for a test's metrics.
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true}
	response, err := transport.RoundTrip(sent)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	page, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return page
}
