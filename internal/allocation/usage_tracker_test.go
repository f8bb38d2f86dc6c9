package allocation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fleetOf returns prefill and then decode endpoints of one zone, named e0 and so on.
func fleetOf(prefill, decode int) []Endpoint {
	var list []Endpoint
	for n := range prefill + decode {
		list = append(list, Endpoint{ID: fmt.Sprint("e", n), Slots: 12, IsPrefill: n < prefill})
	}
	return list
}

var secondVersion = "v2"

// mixedFleet returns decode endpoints of two software versions, the older one first.
func mixedFleet() []Endpoint {
	return []Endpoint{{ID: "old", Slots: 1, Software: "v1"}, {ID: "new", Slots: 1, Software: secondVersion}}
}

func requestOf(exchange string, prompt, output int) ReservationRequest {
	return ReservationRequest{
		Exchange: exchange, Entry: "entry", PromptTokens: prompt, OutputTokens: output, CapacityTokens: 10_000,
		AnswerDuration: 3 * time.Second, PrefillDuration: 100 * time.Millisecond, MaxBacklog: 300 * time.Millisecond,
	}
}

func TestReserve(t *testing.T) {
	for name, row := range map[string]struct {
		fleet   []Endpoint
		before  []ReservationRequest
		request ReservationRequest
		want    Placement
	}{
		"idle endpoints":     {fleet: fleetOf(1, 1), request: requestOf("x", 3000, 500), want: Placement{Endpoint: "e1", PrefillEndpoint: "e0"}},
		"emptier endpoint":   {fleet: fleetOf(1, 2), before: []ReservationRequest{requestOf("a", 3000, 500)}, request: requestOf("x", 3000, 500), want: Placement{Endpoint: "e2", PrefillEndpoint: "e0", PrefillBacklog: 100 * time.Millisecond}},
		"idle prefill":       {fleet: fleetOf(2, 1), before: []ReservationRequest{requestOf("a", 3000, 500)}, request: requestOf("x", 3000, 500), want: Placement{Endpoint: "e2", PrefillEndpoint: "e1"}},
		"larger than any":    {fleet: fleetOf(1, 1), request: requestOf("x", 10_000, 500)},
		"all full":           {fleet: fleetOf(1, 1), before: []ReservationRequest{requestOf("a", 8000, 500)}, request: requestOf("x", 3000, 500)},
		"no endpoints":       {request: requestOf("x", 3000, 500)},
		"prefill too busy":   {fleet: fleetOf(1, 9), before: []ReservationRequest{requestOf("a", 900, 0), requestOf("b", 900, 0), requestOf("c", 900, 0), requestOf("d", 900, 0)}, request: requestOf("x", 900, 0)},
		"excluded endpoint":  {fleet: fleetOf(0, 2), request: ReservationRequest{CapacityTokens: 10, PromptTokens: 1, Excluded: []string{"e0"}}, want: Placement{Endpoint: "e1"}},
		"another model":      {fleet: []Endpoint{{ID: "e", Slots: 1, Models: []string{"other"}}}, request: ReservationRequest{CapacityTokens: 10, Model: "m"}},
		"required software":  {fleet: mixedFleet(), request: ReservationRequest{CapacityTokens: 10, Software: &secondVersion}, want: Placement{Endpoint: "new"}},
		"prefill's software": {fleet: []Endpoint{{ID: "p", IsPrefill: true, Software: "v1"}, {ID: "d", Slots: 1, Software: "v2"}}, request: requestOf("x", 3000, 500), want: Placement{Endpoint: "d"}},
		"software is gone":   {fleet: mixedFleet()[:1], request: ReservationRequest{CapacityTokens: 10, Software: &secondVersion}},
		"the entry's zone":   {fleet: []Endpoint{{ID: "far", Zone: "b", Slots: 1}, {ID: "near", Zone: "a", Slots: 1}}, request: ReservationRequest{CapacityTokens: 10, Zone: "a"}, want: Placement{Endpoint: "near"}},
		"no free slot":       {fleet: []Endpoint{{ID: "e", Slots: 1}}, before: []ReservationRequest{{Exchange: "a", CapacityTokens: 10}}, request: ReservationRequest{Exchange: "x", CapacityTokens: 10}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewUsageTracker()
			for _, request := range row.before {
				assert.Assert(t, tracker.Reserve(start, row.fleet, request).Endpoint != "")
			}
			assert.Equal(t, tracker.Reserve(start, row.fleet, row.request), row.want)
		})
	}
}

// If no prefill endpoint is free in time, a prompt that the decode endpoint may prefill
// itself gets a reservation without a prefill endpoint.
func TestReserveWithLocalPrefill(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(1, 9)
	for n := range 4 {
		assert.Equal(t, tracker.Reserve(start, fleet, requestOf(fmt.Sprint(n), 900, 0)).PrefillEndpoint, "e0")
	}
	request := requestOf("x", 900, 0)
	request.AllowLocalPrefill = true
	got := tracker.Reserve(start, fleet, request)
	assert.Assert(t, got.Endpoint != "")
	assert.Equal(t, got.PrefillEndpoint, "")
}

// A reservation ends when it is released, when it expires, and when its entry is no
// longer alive.
func TestReservationEnds(t *testing.T) {
	fleet := fleetOf(0, 1)
	full := ReservationRequest{Exchange: "a", Entry: "entry", PromptTokens: 8000, CapacityTokens: 10_000, AnswerDuration: 3 * time.Second}
	next := ReservationRequest{Exchange: "x", Entry: "other", PromptTokens: 8000, CapacityTokens: 10_000, AnswerDuration: 3 * time.Second}
	for name, row := range map[string]struct {
		free func(tracker *UsageTracker)
		when int // ms
		want bool
	}{
		"not yet":          {free: func(*UsageTracker) {}, when: 7900},
		"released":         {free: func(tracker *UsageTracker) { tracker.Release(at(10), "e0", "a", "entry", OutcomeDone) }, when: 10, want: true},
		"another released": {free: func(tracker *UsageTracker) { tracker.Release(at(10), "e0", "b", "entry", OutcomeDone) }, when: 10},
		"expired":          {free: func(*UsageTracker) {}, when: 8100, want: true},
		"its entry died": {free: func(tracker *UsageTracker) {
			tracker.DropEntries(at(2100), func(e string) bool { return e != "entry" })
		}, when: 2100, want: true},
		"its entry is new": {free: func(tracker *UsageTracker) {
			tracker.DropEntries(at(1900), func(e string) bool { return e != "entry" })
		}, when: 1900},
		"endpoint removed": {free: func(tracker *UsageTracker) { tracker.RetainEndpoints(nil) }, when: 10, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewUsageTracker()
			assert.Equal(t, tracker.Reserve(start, fleet, full).Endpoint, "e0")
			row.free(tracker)
			assert.Equal(t, tracker.Reserve(at(row.when), fleet, next).Endpoint != "", row.want)
		})
	}
}

// Guards against one entry, cut off from an endpoint that all others reach, whose reports
// keep the fleet from using it: the endpoint is skipped for a moment, and for longer only
// when a second entry reports the same.
func TestOneEntryCannotExcludeEndpoint(t *testing.T) {
	request := ReservationRequest{Exchange: "x", CapacityTokens: 10, PromptTokens: 1}
	for name, row := range map[string]struct {
		reporters []string
		ms        int
		want      bool
	}{
		"at once":                {reporters: []string{"a"}, ms: 10},
		"after a short pause":    {reporters: []string{"a"}, ms: 310, want: true},
		"repeated by one":        {reporters: []string{"a", "a", "a"}, ms: 310, want: true},
		"confirmed":              {reporters: []string{"a", "b"}, ms: 310},
		"confirmed, after pause": {reporters: []string{"a", "b"}, ms: 1010, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewUsageTracker()
			for _, entry := range row.reporters {
				tracker.Release(start, "e0", "gone", entry, OutcomeUnreachable)
			}
			assert.Equal(t, tracker.Reserve(at(row.ms), fleetOf(0, 1), request).Endpoint != "", row.want)
		})
	}
}

// Guards against many requests sent to an unreachable endpoint that looks best since it
// has no reservations. One request probes it; the others wait for the result.
func TestOneRequestProbesUnreachableEndpoint(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(0, 1)
	tracker.Release(start, "e0", "x", "a", OutcomeUnreachable)
	request := ReservationRequest{CapacityTokens: 10, PromptTokens: 1}
	assert.Equal(t, tracker.Reserve(at(400), fleet, request).Endpoint, "e0")
	assert.Equal(t, tracker.Reserve(at(410), fleet, request).Endpoint, "")
	assert.Equal(t, tracker.Reserve(at(810), fleet, request).Endpoint, "e0", "no failure was reported")
}

// Guards against a home that has just started and keeps choosing a full endpoint that it
// takes for empty. After one refusal it chooses the endpoint only for what may still fit,
// and for more as the answers that it doesn't know of end.
func TestRefusalShowsUntrackedUse(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(0, 1)
	request := func(tokens int) ReservationRequest {
		return ReservationRequest{Exchange: "x", PromptTokens: tokens, CapacityTokens: 10_000, AnswerDuration: 3 * time.Second}
	}
	assert.Equal(t, tracker.Reserve(start, fleet, request(4000)).Endpoint, "e0")
	tracker.Release(start, "e0", "x", "entry", OutcomeFull)
	assert.Equal(t, tracker.Reserve(start, fleet, request(4000)).Endpoint, "")
	assert.Equal(t, tracker.Reserve(at(10), fleet, request(3000)).Endpoint, "e0", "may still fit")
	tracker.Release(at(10), "e0", "x", "entry", OutcomeDone)
	assert.Equal(t, tracker.Reserve(at(1500), fleet, request(6000)).Endpoint, "e0", "half of the untracked use has faded")
}

// Guards against prompts that pile up at a prefill endpoint that takes eight times as long
// as expected while its health checks pass: its backlog is computed from expected times.
func TestSlowPrefillEndpointGetsLess(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(2, 100)
	counts := map[string]int{}
	for n := range 100 {
		now := at(n * 100)
		g := tracker.Reserve(now, fleet, requestOf(fmt.Sprint(n), 100, 0))
		counts[g.PrefillEndpoint]++
		if g.PrefillEndpoint == "e0" {
			tracker.RecordPrefill(now, "e0", "entry", OutcomeDone, 100*time.Millisecond, 800*time.Millisecond)
		}
	}
	assert.Assert(t, counts["e0"] < 20, "%v", counts)
}

// Guards against a small fleet that never uses a prefill endpoint again after a short
// delay there, as by a slow link or a frozen process.
func TestRecoveredPrefillEndpointIsUsedAgain(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(1, 1)
	tracker.RecordPrefill(start, "e0", "entry", OutcomeDone, 100*time.Millisecond, 1100*time.Millisecond)
	request := requestOf("x", 100, 0)
	assert.Equal(t, tracker.Reserve(at(10), fleet, request).Endpoint, "", "expected to take ten times as long")
	assert.Equal(t, tracker.Reserve(at(3500), fleet, request).PrefillEndpoint, "e0")
}

// Guards against a prefill endpoint that counts as busy with a prompt that never arrives,
// since the decode endpoint had no memory for the request.
func TestPrefillOfRefusedRequestIsCanceled(t *testing.T) {
	tracker, fleet := NewUsageTracker(), fleetOf(1, 2)
	placement := tracker.Reserve(start, fleet, requestOf("x", 3000, 0))
	tracker.Release(start, placement.Endpoint, "x", "entry", OutcomeFull)
	assert.Equal(t, tracker.Reserve(start, fleet, requestOf("y", 3000, 0)).PrefillBacklog, time.Duration(0))
}
