package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Guards against callers that are told that no team has their key by a daemon that has
// just started: others name it as soon as it has a lease, before it has its settings.
func TestCallerOfADaemonThatHasJustStarted(t *testing.T) {
	w := newWorld()
	w.freeze(true)
	state := w.setState(&membership.State{Tree: &settings.Tree{}})
	server := serve(t, w)
	time.AfterFunc(200*time.Millisecond, func() {
		w.setState(state)
		w.freeze(false)
	})
	got := call{method: "POST", path: "/v1/completions", body: textBody}.do(t, server)
	assert.Equal(t, got.status, 200, got.body)
	w.freeze(true)
	w.setState(&membership.State{Tree: &settings.Tree{}})
	got = call{method: "POST", path: "/v1/completions", body: textBody}.do(t, server)
	assert.Equal(t, got.status, 503, got.body)
	assert.Equal(t, failureIn(t, got.body).Code, callerapi.CodeNotCurrent)
}
