package allocation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// at gives a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fleetOf makes endpoints of one zone, e0 and so on, the first ones readers.
func fleetOf(readers, generating int) []Endpoint {
	var list []Endpoint
	for n := range readers + generating {
		list = append(list, Endpoint{ID: fmt.Sprint("e", n), Slots: 12, Reads: n < readers})
	}
	return list
}

func askFor(exchange string, prompt, output int) Ask {
	return Ask{
		Exchange: exchange, Entry: "entry", Prompt: prompt, Output: output, Capacity: 10_000,
		Length: 3 * time.Second, Reading: 100 * time.Millisecond, LongestBacklog: 300 * time.Millisecond,
	}
}

func TestAllot(t *testing.T) {
	for name, row := range map[string]struct {
		fleet  []Endpoint
		before []Ask
		ask    Ask
		want   Grant
	}{
		"room and reader":    {fleet: fleetOf(1, 1), ask: askFor("x", 3000, 500), want: Grant{Endpoint: "e1", Reader: "e0"}},
		"the emptier one":    {fleet: fleetOf(1, 2), before: []Ask{askFor("a", 3000, 500)}, ask: askFor("x", 3000, 500), want: Grant{Endpoint: "e2", Reader: "e0", Backlog: 100 * time.Millisecond}},
		"the idle reader":    {fleet: fleetOf(2, 1), before: []Ask{askFor("a", 3000, 500)}, ask: askFor("x", 3000, 500), want: Grant{Endpoint: "e2", Reader: "e1"}},
		"larger than all":    {fleet: fleetOf(1, 1), ask: askFor("x", 10_000, 500)},
		"all full":           {fleet: fleetOf(1, 1), before: []Ask{askFor("a", 8000, 500)}, ask: askFor("x", 3000, 500)},
		"no endpoints":       {ask: askFor("x", 3000, 500)},
		"readers too busy":   {fleet: fleetOf(1, 9), before: []Ask{askFor("a", 900, 0), askFor("b", 900, 0), askFor("c", 900, 0), askFor("d", 900, 0)}, ask: askFor("x", 900, 0)},
		"an excluded one":    {fleet: fleetOf(0, 2), ask: Ask{Capacity: 10, Prompt: 1, Excluded: []string{"e0"}}, want: Grant{Endpoint: "e1"}},
		"another model":      {fleet: []Endpoint{{ID: "e", Slots: 1, Models: []string{"other"}}}, ask: Ask{Capacity: 10, Model: "m"}},
		"the entry's zone":   {fleet: []Endpoint{{ID: "far", Zone: "b", Slots: 1}, {ID: "near", Zone: "a", Slots: 1}}, ask: Ask{Capacity: 10, Zone: "a"}, want: Grant{Endpoint: "near"}},
		"no place, only one": {fleet: []Endpoint{{ID: "e", Slots: 1}}, before: []Ask{{Exchange: "a", Capacity: 10}}, ask: Ask{Exchange: "x", Capacity: 10}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAccount()
			for _, ask := range row.before {
				assert.Assert(t, a.Allot(start, row.fleet, ask).Endpoint != "")
			}
			assert.Equal(t, a.Allot(start, row.fleet, row.ask), row.want)
		})
	}
}

// Where no reader is free in time, a prompt that may be read where its answer is
// generated gets a place without one.
func TestAllotReadsOwn(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(1, 9)
	for n := range 4 {
		assert.Equal(t, a.Allot(start, fleet, askFor(fmt.Sprint(n), 900, 0)).Reader, "e0")
	}
	ask := askFor("x", 900, 0)
	ask.ReadsOwn = true
	got := a.Allot(start, fleet, ask)
	assert.Assert(t, got.Endpoint != "")
	assert.Equal(t, got.Reader, "")
}

// A place comes free when it is settled, when nobody settles it for long, and
// when the entry that had it is gone.
func TestPlacesComeFree(t *testing.T) {
	fleet := fleetOf(0, 1)
	full := Ask{Exchange: "a", Entry: "entry", Prompt: 8000, Capacity: 10_000, Length: 3 * time.Second}
	next := Ask{Exchange: "x", Entry: "other", Prompt: 8000, Capacity: 10_000, Length: 3 * time.Second}
	for name, row := range map[string]struct {
		free func(a *Account)
		when int // ms
		want bool
	}{
		"not yet":             {free: func(*Account) {}, when: 7900},
		"settled":             {free: func(a *Account) { a.Settle(at(10), "e0", "a", "entry", OutcomeDone) }, when: 10, want: true},
		"another one settled": {free: func(a *Account) { a.Settle(at(10), "e0", "b", "entry", OutcomeDone) }, when: 10},
		"lapsed":              {free: func(*Account) {}, when: 8100, want: true},
		"its entry is gone":   {free: func(a *Account) { a.DropEntries(at(2100), func(e string) bool { return e != "entry" }) }, when: 2100, want: true},
		"its entry is new":    {free: func(a *Account) { a.DropEntries(at(1900), func(e string) bool { return e != "entry" }) }, when: 1900},
		"endpoint was gone":   {free: func(a *Account) { a.Keep(nil) }, when: 10, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAccount()
			assert.Equal(t, a.Allot(start, fleet, full).Endpoint, "e0")
			row.free(a)
			assert.Equal(t, a.Allot(at(row.when), fleet, next).Endpoint != "", row.want)
		})
	}
}

// An entry is cut off from an endpoint that all others reach. Its word must not
// keep the fleet from it: the endpoint is left alone for a moment, and for longer
// only when a second entry tells the same.
func TestOneEntrysWordIsNotAll(t *testing.T) {
	ask := Ask{Exchange: "x", Capacity: 10, Prompt: 1}
	for name, row := range map[string]struct {
		tellers []string
		ms      int
		want    bool
	}{
		"at once":                   {tellers: []string{"a"}, ms: 10},
		"soon":                      {tellers: []string{"a"}, ms: 310, want: true},
		"told often by one":         {tellers: []string{"a", "a", "a"}, ms: 310, want: true},
		"told by two":               {tellers: []string{"a", "b"}, ms: 310},
		"told by two, after a time": {tellers: []string{"a", "b"}, ms: 1010, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAccount()
			for _, entry := range row.tellers {
				a.Settle(start, "e0", "gone", entry, OutcomeGone)
			}
			assert.Equal(t, a.Allot(at(row.ms), fleetOf(0, 1), ask).Endpoint != "", row.want)
		})
	}
}

// An endpoint is dark and empty by the account, so that it looks best to
// everybody. One request tries it; the others wait for what comes of that.
func TestOneRequestTriesWhatWasGone(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(0, 1)
	a.Settle(start, "e0", "x", "a", OutcomeGone)
	ask := Ask{Capacity: 10, Prompt: 1}
	assert.Equal(t, a.Allot(at(400), fleet, ask).Endpoint, "e0")
	assert.Equal(t, a.Allot(at(410), fleet, ask).Endpoint, "")
	assert.Equal(t, a.Allot(at(810), fleet, ask).Endpoint, "e0", "nobody told that it failed")
}

// A home that has just begun takes a full endpoint for an empty one. One refusal
// must teach it: it names the endpoint for what may still fit, and for the rest as
// the answers that it doesn't know of end.
func TestRefusalTeachesWhatIsInUse(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(0, 1)
	ask := func(tokens int) Ask {
		return Ask{Exchange: "x", Prompt: tokens, Capacity: 10_000, Length: 3 * time.Second}
	}
	assert.Equal(t, a.Allot(start, fleet, ask(4000)).Endpoint, "e0")
	a.Settle(start, "e0", "x", "entry", OutcomeFull)
	assert.Equal(t, a.Allot(start, fleet, ask(4000)).Endpoint, "")
	assert.Equal(t, a.Allot(at(10), fleet, ask(3000)).Endpoint, "e0", "it may fit")
	a.Settle(at(10), "e0", "x", "entry", OutcomeDone)
	assert.Equal(t, a.Allot(at(1500), fleet, ask(6000)).Endpoint, "e0", "half of them have ended")
}

// A reader takes eight times as long as it should, with sound health. Promises go
// by what it should take, so that prompts would pile up there without an end.
func TestSlowReaderGetsLess(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(2, 100)
	given := map[string]int{}
	for n := range 100 {
		now := at(n * 100)
		g := a.Allot(now, fleet, askFor(fmt.Sprint(n), 100, 0))
		given[g.Reader]++
		if g.Reader == "e0" {
			a.Read(now, "e0", "entry", OutcomeDone, 100*time.Millisecond, 800*time.Millisecond)
		}
	}
	assert.Assert(t, given["e0"] < 20, "%v", given)
}

// A reader was held up for a moment, by a slow link or a frozen process, and is
// sound again. A fleet of a few readers must not go without it for good.
func TestReaderThatWasSlowIsUsedAgain(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(1, 1)
	a.Read(start, "e0", "entry", OutcomeDone, 100*time.Millisecond, 1100*time.Millisecond)
	ask := askFor("x", 100, 0)
	assert.Equal(t, a.Allot(at(10), fleet, ask).Endpoint, "", "ten times as long")
	assert.Equal(t, a.Allot(at(3500), fleet, ask).Reader, "e0")
}

// A request is promised a reader, and its place turns out to be full. The reader
// must not count as busy with a prompt that never comes.
func TestReadingOfARequestWithoutAPlaceIsGivenBack(t *testing.T) {
	a, fleet := NewAccount(), fleetOf(1, 2)
	given := a.Allot(start, fleet, askFor("x", 3000, 0))
	a.Settle(start, given.Endpoint, "x", "entry", OutcomeFull)
	assert.Equal(t, a.Allot(start, fleet, askFor("y", 3000, 0)).Backlog, time.Duration(0))
}
