package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// Guards against limits that are kept for an endpoint's earlier process, and against a failure
// before the first view.
func TestViewListsIncarnations(t *testing.T) {
	view := &View{Endpoints: map[string][]*dispatch.Endpoint{"pool": {{ID: "e", Born: 2}}}}
	assert.Assert(t, view.Lists(endpointlimit.Endpoint{ID: "e", Born: 2}))
	assert.Assert(t, !view.Lists(endpointlimit.Endpoint{ID: "e", Born: 1}))
	assert.Assert(t, !(*View)(nil).Lists(endpointlimit.Endpoint{ID: "e", Born: 2}))
}
