package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func TestModelRef(t *testing.T) {
	tree := goodTree(t)
	pinned := Team{Name: "pinned", Models: []string{"fibre@v1"}}
	for _, row := range []struct {
		team Team
		text string
		want string // empty: trace.NotFound
	}{
		{tree.Teams["sorters"], "fibre", "fibre@v2"},
		{tree.Teams["sorters"], "fibre@v1", "fibre@v1"},
		{tree.Teams["sorters"], "fibre/cotton", "fibre@v2/cotton"},
		{tree.Teams["sorters"], "fibre@v1/cotton", "fibre@v1/cotton"},
		{tree.Teams["sorters"], "fibre@v3", ""},
		{tree.Teams["sorters"], "fibre@v1/silk", ""},
		{tree.Teams["sorters"], "fibre@v1/", ""},
		{tree.Teams["sorters"], "fibre@", ""},
		{tree.Teams["sorters"], "", ""},
		{tree.Teams["sorters"], "gloss", ""},
		{pinned, "fibre", "fibre@v1"},
		{pinned, "fibre@v2", ""},
		{Team{}, "fibre", ""},
	} {
		ref, err := tree.ModelRef(row.team, row.text)
		if row.want == "" {
			assert.Assert(t, trace.IsNotFound(err), "%q: %v", row.text, err)
			continue
		}
		assert.NilError(t, err, row.text)
		assert.Equal(t, ref.String(), row.want)
	}
}

// TestIdempotent guards against running a call twice that isn't idempotent: a
// caller may write a path so that it matches an idempotent route here and a
// route that isn't idempotent at the service (one pickup slip, two trucks).
// After a lost answer the call would be retried.
func TestIdempotent(t *testing.T) {
	service := goodTree(t).Fleet.Services[0]
	for _, row := range []struct {
		method, path string
		headerSaysNo bool
		want         bool
	}{
		{"GET", "/banks", false, true},
		{"HEAD", "/banks", false, true},
		{"GET", "/banks", true, false},
		{"POST", "/slips", false, false},
		{"POST", "/slips/12", false, false},
		{"POST", "/slipstream", false, false}, // no route: not idempotent
		{"PUT", "/banks/3", false, true},
		{"PUT", "/banks/3", true, false},
		{"DELETE", "/banks/3", false, false},
		{"get", "/banks", false, false},
		{"PUT", "/banks/../slips", false, false},
		{"PUT", "/banks/./slips", false, false},
		{"PUT", "//slips", false, false},
		{"PUT", "/%73lips", false, false},
		{"PUT", `/banks\..\slips`, false, false},
		{"PUT", "/banks;x=/slips", false, false},
		{"PUT", "banks", false, false},
		{"GET", "", false, false},
	} {
		got := service.Idempotent(row.method, row.path, row.headerSaysNo)
		assert.Equal(t, got, row.want, "%s %s %v", row.method, row.path, row.headerSaysNo)
	}
}

func TestCallerKind(t *testing.T) {
	tree := goodTree(t)
	team := tree.Teams["sorters"]
	assert.Equal(t, tree.CallerKind(team, "volunteer"), CallerKind{"volunteer", 3 * time.Second, 8})
	assert.Equal(t, tree.CallerKind(team, "sorter"), CallerKind{"sorter", 20 * time.Second, 4})
	assert.Equal(t, tree.CallerKind(team, "unheard-of"), defaultCallerKind())
	team.Callers = append(team.Callers, CallerKind{DefaultKind, time.Second, 1})
	assert.Equal(t, tree.CallerKind(team, "unheard-of").Patience, time.Second)
}

func TestLink(t *testing.T) {
	tree := goodTree(t)
	forward, ok := tree.Link("howrah", "barasat")
	assert.Assert(t, ok)
	assert.Equal(t, forward.Rate, ByteRate(10e9))
	reverse, ok := tree.Link("barasat", "howrah")
	assert.Assert(t, ok)
	assert.DeepEqual(t, reverse, Link{"barasat", "howrah", 10e9, 300 * time.Microsecond})
	_, ok = tree.Link("howrah", "durgapur")
	assert.Assert(t, !ok)
}

func TestKeys(t *testing.T) {
	tree := goodTree(t)
	team, ok := tree.TeamByKey("sorters-key")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, fleet.Team("sorters"))
	for _, key := range []string{"", "sorters-kez", "root-key", string(keyhash.Of("sorters-key"))} {
		_, ok = tree.TeamByKey(key)
		assert.Assert(t, !ok, key)
	}
	withoutIndex := &Tree{Teams: tree.Teams}
	_, ok = withoutIndex.TeamByKey("sorters-key")
	assert.Assert(t, ok)
	operator, ok := tree.OperatorByKey("lead-key")
	assert.Assert(t, ok)
	assert.Assert(t, operator.MayChange("teams/sorters"))
	for _, subtree := range []string{"fleet", "teams/sorters2", "teams/", "teams/*", "", "*"} {
		assert.Assert(t, !operator.MayChange(subtree), subtree)
	}
	allTeamsOperator := Operator{Subtrees: []string{"teams/*"}}
	assert.Assert(t, allTeamsOperator.MayChange("teams/x"))
	assert.Assert(t, !allTeamsOperator.MayChange("fleet"))
}

// TestKeyOfOneTeamOnly checks that two teams can't have the same key: the lookup
// could return the wrong team, and a caller's request would run in a zone that
// its team's data may not touch.
func TestKeyOfOneTeamOnly(t *testing.T) {
	tree := goodTree(t)
	second := "team: others\nkey_hashes: [\"%SORTERS%\"]\npermitted_zones: [durgapur]\nmodels: [fibre]\n"
	_, err := CheckChange(tree, "teams/others", fillKeyHashes(second))
	assert.ErrorContains(t, err, "teams/others.yaml:2: key_hashes[0]: this key belongs to another team")
}

func TestChangeLeavesTheTreeAsItWas(t *testing.T) {
	tree := goodTree(t)
	next, err := CheckChange(tree, "teams/sorters", nil)
	assert.NilError(t, err)
	_, ok := next.TeamByKey("sorters-key")
	assert.Assert(t, !ok)
	_, ok = tree.TeamByKey("sorters-key")
	assert.Assert(t, ok)
	assert.Equal(t, tree.Versions["teams/sorters"], uint64(1))
	assert.Equal(t, next.Versions["teams/sorters"], uint64(2))
	_, err = CheckChange(next, "teams/sorters", nil)
	assert.ErrorContains(t, err, "doesn't exist")
	_, err = CheckChange(next, FleetSubtree, nil)
	assert.ErrorContains(t, err, "can't be removed")
	_, err = CheckChange(EmptyTree(), "teams/sorters", fillKeyHashes(goodTeam))
	assert.ErrorContains(t, err, "no fleet subtree yet; apply fleet.yaml first")
	for _, name := range []string{"", "team", "fleet/x"} {
		_, err = CheckChange(tree, name, fillKeyHashes(goodTeam))
		assert.ErrorContains(t, err, "no subtree is called", name)
	}
	for _, team := range []string{"", "a/b", "A", "..", "a+b"} {
		text := strings.Replace(goodTeam, "team: sorters", "team: '"+team+"'", 1)
		_, err = CheckChange(tree, "teams/"+team, fillKeyHashes(text))
		assert.ErrorContains(t, err, ".yaml:1: team: \""+team+"\" is not a name")
	}
}

func TestBuildEqualsChanges(t *testing.T) {
	documents := []*pb.SubtreeDocument{
		{Name: "teams/sorters", Version: 7, Yaml: fillKeyHashes(goodTeam)},
		{Name: "teams/gone", Version: 3},
		{Name: FleetSubtree, Version: 4, Yaml: fillKeyHashes(goodFleet)},
	}
	built, err := Build(documents, 99)
	assert.NilError(t, err)
	assert.Equal(t, built.Index, uint64(99))
	assert.DeepEqual(t, built.Versions, map[string]uint64{"teams/sorters": 7, "teams/gone": 3, "fleet": 4})
	changed := goodTree(t)
	assert.DeepEqual(t, built.Teams, changed.Teams)
	assert.DeepEqual(t, built.Fleet, changed.Fleet)

	update := &pb.SubtreeDocument{Name: "teams/sorters", Version: 9, Yaml: fillKeyHashes(goodTeam + "share: 2\n")}
	applied, err := Apply(built, []*pb.SubtreeDocument{update}, 120)
	assert.NilError(t, err)
	assert.Equal(t, applied.Index, uint64(120))
	assert.Equal(t, applied.Versions["teams/sorters"], uint64(9))
	assert.Equal(t, applied.Teams["sorters"].Share, 2.0)
	assert.Equal(t, built.Teams["sorters"].Share, 1.0)
}

func TestUnits(t *testing.T) {
	for text, want := range map[string]int64{"0B": 0, "7B": 7, "64KB": 64e3, "3MB": 3e6, "9GB": 9e9, "1TB": 1e12, "9223372TB": 9223372e12,
		"9223373TB": -1, "-1KB": -1, "+1KB": -1, "1.5GB": -1, "KB": -1, "1 KB": -1, "1kb": -1, "1KiB": -1, "": -1} {
		var size ByteSize
		err := size.UnmarshalScalar(text)
		assert.Equal(t, err == nil, want >= 0, text)
		if want >= 0 {
			assert.Equal(t, int64(size), want)
			assert.Equal(t, size.String(), text)
		}
	}
}
