package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// A daemon joins under load and is given to callers at once. Its follower has
// not heard of any endpoint yet, though two are idle: requests in its first
// second were refused as if their zones were empty.
func TestServesWhatComesBeforeTheFirstSurvey(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		known := w.hide()
		w.surveying = true
		time.AfterFunc(300*time.Millisecond, func() { w.show(known) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertFree(t)
	})
}

// A daemon's own joining makes it the home of the endpoints, which announce
// themselves there a second after it has asked all other homes.
func TestServesWhatComesWhileItsJoiningMovesHomes(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		known := w.hide()
		w.surveyedAt = time.Now()
		time.AfterFunc(time.Second, func() { w.show(known) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertFree(t)
	})
}

// A zone has no endpoint at all. Once homes had their time to move, requests
// are refused at once rather than held until their deadline.
func TestEmptyZoneIsRefusedAtOnceAfterTheSurvey(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.hide()
		w.surveyedAt = time.Now()
		time.Sleep(2 * time.Second)
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeNoZone)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// An instance stops and another one joins in the same second. Each home that a
// request asks for a slot has just given the endpoint away, and the slots
// themselves are free: requests were refused as if all were taken.
func TestServesWhatComesWhileHomesAreHandedOver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.refuseTakes(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
		time.AfterFunc(500*time.Millisecond, func() { w.refuseTakes(0) })
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		w.assertFree(t)
	})
}

// Homes that never settle are not waited for longer than a move takes.
func TestHandOverWithoutEndIsRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.refuseTakes(pb.GrantStatus_GRANT_STATUS_NOT_HOME)
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeOverloaded)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
		assert.Assert(t, time.Since(began) <= 2100*time.Millisecond, "%v", time.Since(began))
	})
}
