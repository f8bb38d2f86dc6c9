package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Other daemons name a newly started daemon to callers as soon as it has a lease, before
// it has its settings. It must not answer callers that no team has their key.
func TestCallerOfStartingDaemon(t *testing.T) {
	w := newFakeFleet()
	w.setStale(true)
	state := w.setState(&membership.State{Tree: &settings.Tree{}})
	server := serve(t, w)
	time.AfterFunc(200*time.Millisecond, func() {
		w.setState(state)
		w.setStale(false)
	})
	got := call{method: "POST", path: "/v1/completions", body: textBody}.do(t, server)
	assert.Equal(t, got.status, 200, got.body)
	w.setStale(true)
	w.setState(&membership.State{Tree: &settings.Tree{}})
	got = call{method: "POST", path: "/v1/completions", body: textBody}.do(t, server)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, failureIn(t, got.body).Code, callerapi.CodeNotCurrent)
}
