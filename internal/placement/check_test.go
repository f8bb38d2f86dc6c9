package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

func tree(permitted ...fleet.AvailabilityZone) *settings.Tree {
	return &settings.Tree{
		Fleet: settings.Fleet{Zones: []settings.Zone{{Name: "anping-hall"}, {Name: "rende-hall"}}},
		Teams: map[fleet.Team]settings.Team{"archive": {Name: "archive", PermittedZones: permitted}},
	}
}

func TestCheck(t *testing.T) {
	here := engine.Target{ID: "d1", Zone: "anping-hall", Address: "127.0.0.1:1"}
	there := engine.Target{ID: "d2", Zone: "rende-hall", Address: "127.0.0.1:2"}
	nowhere := engine.Target{ID: "d3", Zone: "durgapur", Address: "127.0.0.1:3"}
	cases := map[string]struct {
		tree   *settings.Tree
		team   fleet.Team
		self   fleet.AvailabilityZone
		target engine.Target
		want   Cause
	}{
		"permitted":        {tree("anping-hall", "rende-hall"), "archive", "anping-hall", there, ""},
		"target forbidden": {tree("anping-hall"), "archive", "anping-hall", there, CauseTargetZone},
		"entry forbidden":  {tree("rende-hall"), "archive", "anping-hall", there, CauseEntryZone},
		"undeclared zone":  {tree("anping-hall", "durgapur"), "archive", "anping-hall", nowhere, CauseUndeclaredZone},
		"no zones at all":  {tree(), "archive", "anping-hall", here, CauseEntryZone},
		"unknown team":     {tree("anping-hall"), "other", "anping-hall", here, CauseNoTeam},
		"no settings":      {nil, "archive", "anping-hall", here, CauseNotCurrent},
		"no zone":          {tree("anping-hall"), "archive", "anping-hall", engine.Target{ID: "d4", Address: "127.0.0.1:4"}, CauseMisaddressed},
		"no address":       {tree("anping-hall"), "archive", "anping-hall", engine.Target{ID: "d5", Zone: "anping-hall"}, CauseMisaddressed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := Check(tc.tree, tc.team, tc.self, tc.target)
			if tc.want == "" {
				assert.Assert(t, got == nil, "%v", got)
				return
			}
			assert.Assert(t, got != nil)
			assert.Equal(t, got.Cause, tc.want)
		})
	}
}

// counter is a recorder that counts events.
type counter int

func (c *counter) Record(timeline.Event) { *c++ }

// sourceOf returns the membership source of a daemon in anping-hall whose
// settings are tree.
func sourceOf(tree *settings.Tree) *testkit.Source {
	return testkit.NewSource(fleet.Instance{ID: "e1", Zone: "anping-hall"}, &membership.State{Tree: tree})
}

// One gate checks all sends of a request. If the team's settings change or the
// daemon loses its lease between two sends, the gate must not reuse its earlier
// result, or data would go to a zone that is now forbidden.
func TestGateChecksEachSend(t *testing.T) {
	s, events := sourceOf(tree("anping-hall", "rende-hall")), new(counter)
	gate := Gate(s, "archive", events)
	target := engine.Target{ID: "d2", Zone: "rende-hall", Address: "127.0.0.1:2"}
	assert.NilError(t, gate(target))
	s.Set(&membership.State{Tree: tree("anping-hall")})
	cause, refused := IsRefusal(gate(target))
	assert.Assert(t, refused)
	assert.Equal(t, cause, CauseTargetZone)
	s.Set(&membership.State{Tree: tree("anping-hall", "rende-hall")})
	assert.NilError(t, gate(target))
	s.SetCurrent(false)
	cause, refused = IsRefusal(gate(target))
	assert.Assert(t, refused)
	assert.Equal(t, cause, CauseNotCurrent)
	assert.Equal(t, int(*events), 2)
}

func BenchmarkGate(b *testing.B) {
	s, events := sourceOf(tree("anping-hall", "rende-hall")), new(counter)
	gate := Gate(s, "archive", events)
	target := engine.Target{ID: "d2", Zone: "rende-hall", Address: "127.0.0.1:2"}
	b.ReportAllocs()
	for b.Loop() {
		if gate(target) != nil {
			b.Fatal("refused")
		}
	}
}
