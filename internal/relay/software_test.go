package relay

import (
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// withSoftware makes the service one of endpoints of the given software versions.
func (fx *fixture) withSoftware(versions ...string) *fixture {
	var list []*dispatch.Endpoint
	for n, version := range versions {
		list = append(list, &dispatch.Endpoint{ID: fmt.Sprint("e", n), Service: "s", Slots: 4, Software: version})
	}
	fx.view.Endpoints["s"] = list
	return fx
}

// softwareOfCalls returns the software version of each endpoint that was called.
func (fx *fixture) softwareOfCalls() []string {
	var versions []string
	for _, c := range fx.endpoints.calls {
		versions = append(versions, c.Endpoint.Software)
	}
	return versions
}

// Guards against a stream that continues at an endpoint of another software version, within one
// answer or when its caller returns.
func TestStreamKeepsItsSoftwareVersion(t *testing.T) {
	breaksAfterTwo := returns(func() *Reply { return reply(200, errCut, event("1"), event("2")) })
	endsWithThree := returns(func() *Reply { return ok(event("3")) })

	t.Run("within an answer, no other endpoint has the version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(routetable.KindStream, breaksAfterTwo, endsWithThree).withSoftware("v1", "v1.1", "v1.2")
			fx.route.Resumable = true
			caller, refusal := fx.serve(t, newExchange())
			assert.Assert(t, refusal == nil)
			assert.Equal(t, len(fx.endpoints.calls), 1, "sent to %v", fx.softwareOfCalls())
			assert.Equal(t, caller.text.String(), event("1")+event("2"))
			assert.Assert(t, caller.aborted)
		})
	})
	t.Run("within an answer, one endpoint has the version", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			for range 20 {
				fx := newFixture(routetable.KindStream, breaksAfterTwo, endsWithThree).withSoftware("v1", "v1.1", "v1", "v1.1")
				fx.route.Resumable = true
				caller, refusal := fx.serve(t, newExchange())
				assert.Assert(t, refusal == nil)
				versions := fx.softwareOfCalls()
				assert.Equal(t, len(versions), 2)
				assert.Equal(t, versions[0], versions[1])
				assert.Equal(t, caller.text.String(), event("1")+event("2")+event("3"))
				assert.Assert(t, !caller.aborted)
			}
		})
	})
	t.Run("the caller returns, and its stream is not known here", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(routetable.KindStream, endsWithThree).withSoftware("v1", "v1.1")
			fx.route.Resumable = true
			x := newExchange()
			x.LastEventID, x.Resumes = "2", "x0"
			caller, refusal := fx.serve(t, x)
			assert.Equal(t, len(fx.endpoints.calls), 0, "sent to %v", fx.softwareOfCalls())
			assert.Equal(t, caller.begun, 0)
			assert.Equal(t, refusal.Verdict, VerdictNotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	})
}
