package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// A daemon joins under load and is announced to callers at once, before its follower has
// received any endpoints. Requests in its first second must not be refused as if the
// zones were empty.
func TestWaitsForEndpointsBeforeFirstSurvey(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		known := w.hideEndpoints()
		w.surveying = true
		time.AfterFunc(300*time.Millisecond, func() { w.showEndpoints(known) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertNothingHeld(t)
	})
}

// A daemon's own joining makes it the home of the endpoints, which announce themselves
// there a second after it has asked all other homes.
func TestWaitsForEndpointsWhileJoining(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		known := w.hideEndpoints()
		w.surveyedAt = time.Now()
		time.AfterFunc(time.Second, func() { w.showEndpoints(known) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertNothingHeld(t)
	})
}

// A zone has no endpoints. Once homes had time to move, requests must be refused at once
// rather than wait until their deadline.
func TestEmptyZoneIsRefusedAtOnceAfterSurvey(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.hideEndpoints()
		w.surveyedAt = time.Now()
		time.Sleep(2 * time.Second)
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeNoPermittedZone)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// An instance stops and another one joins in the same second. Each home that a request
// asks has just handed the endpoint over, while slots are free. The request must not be
// refused as if all slots were taken.
func TestRetriesGrantsWhileHomesMove(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.refuseGrants(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
		time.AfterFunc(500*time.Millisecond, func() { w.refuseGrants(0) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertNothingHeld(t)
	})
}

// Homes that never settle must not be waited for longer than a move takes.
func TestEndlessHomeMoveIsRefused(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.refuseGrants(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeOverloaded)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
		assert.Assert(t, time.Since(began) <= 2100*time.Millisecond, "%v", time.Since(began))
	})
}
