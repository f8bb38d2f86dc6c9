package settings

import (
	"maps"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// EmptyTree returns the tree of a fleet without any settings.
func EmptyTree() *Tree {
	return &Tree{
		Fleet:         defaultFleet(),
		Teams:         map[fleet.Team]Team{},
		Versions:      map[string]uint64{},
		teamByKeyHash: map[keyhash.Hash]fleet.Team{},
	}
}

// CheckChange checks the YAML of one subtree against tree, a team against the
// fleet or the fleet against all teams, and returns the tree after the change.
// Empty YAML removes a team. The result has the subtree's version raised by one;
// the caller sets Index. The result depends only on the arguments, so replicas
// that apply the same changes in the same order accept the same ones. tree is
// not modified, and only the changed subtree is parsed.
func CheckChange(tree *Tree, name string, yaml []byte) (*Tree, error) {
	return CheckChangeFile(tree, name+fileSuffix, name, yaml)
}

// CheckChangeFile is like CheckChange, but faults name file as their source.
func CheckChangeFile(tree *Tree, file, name string, yaml []byte) (*Tree, error) {
	if len(yaml) == 0 {
		return removeSubtree(tree, name)
	}
	subtree, err := ParseSubtreeFile(file, name, yaml)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	next := tree.shallowCopy()
	next.Versions[name]++
	if subtree.Fleet != nil {
		next.Fleet = *subtree.Fleet
		next.checkTeams(subtree.document)
	} else {
		next.checkTeamUse(&subtree)
		next.setTeam(*subtree.Team)
	}
	if err := subtree.document.Err(); err != nil {
		return nil, trace.Wrap(err)
	}
	return next, nil
}

// Apply applies accepted documents to a tree, in order. The result has the
// versions that the documents were accepted with, and the given index.
func Apply(tree *Tree, documents []*pb.SubtreeDocument, index uint64) (*Tree, error) {
	next := tree.shallowCopy()
	next.Index = index
	for _, document := range documents {
		changed, err := CheckChange(next, document.GetName(), document.GetYaml())
		if err != nil {
			return nil, trace.Wrap(err, "version %d of %s", document.GetVersion(), document.GetName())
		}
		changed.Versions[document.GetName()] = document.GetVersion()
		next = changed
	}
	return next, nil
}

// Build returns a tree built from the current documents of all subtrees, in any
// order. A document of a removed subtree (empty YAML) contributes its version only.
func Build(documents []*pb.SubtreeDocument, index uint64) (*Tree, error) {
	tree := EmptyTree()
	tree.Index = index
	// The fleet sorts before all teams, which are checked against it.
	sorted := slices.SortedStableFunc(slices.Values(documents), func(a, b *pb.SubtreeDocument) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	for _, document := range sorted {
		tree.Versions[document.GetName()] = document.GetVersion()
		if len(document.GetYaml()) == 0 {
			continue
		}
		subtree, err := parseSubtree(document.GetName(), document.GetYaml())
		if err != nil {
			return nil, trace.Wrap(err, "version %d of %s", document.GetVersion(), document.GetName())
		}
		if subtree.Fleet != nil {
			tree.Fleet = *subtree.Fleet
			continue
		}
		tree.checkTeamUse(&subtree)
		if err := subtree.document.Err(); err != nil {
			return nil, trace.Wrap(err, "version %d of %s", document.GetVersion(), document.GetName())
		}
		tree.setTeam(*subtree.Team)
	}
	return tree, nil
}

func removeSubtree(tree *Tree, name string) (*Tree, error) {
	team, isTeam := strings.CutPrefix(name, TeamPrefix)
	if !isTeam {
		return nil, trace.BadParameter("subtree %q can't be removed; only a team's can", name)
	}
	if _, ok := tree.Teams[fleet.Team(team)]; !ok {
		return nil, trace.BadParameter("subtree %q doesn't exist, so it can't be removed", name)
	}
	next := tree.shallowCopy()
	next.Versions[name]++
	next.removeTeam(fleet.Team(team))
	return next, nil
}

// checkTeamUse checks a team's subtree against the rest of the tree.
func (t *Tree) checkTeamUse(subtree *Subtree) {
	if !t.hasFleet() {
		subtree.document.Fault("", "apply fleet.yaml first", "the tree has no fleet subtree yet")
		return
	}
	for _, m := range indexDeclarations(&t.Fleet).mismatches(subtree.Team) {
		subtree.document.Fault(m.teamPath, m.want, "%s", m.problem)
	}
	for n, hash := range subtree.Team.KeyHashes {
		// A key must identify one team, or a caller's requests would run in
		// another team's zones. The fault doesn't name the other team, which
		// may have different operators.
		owner, taken := t.teamByHash(hash)
		if taken && owner != subtree.Team.Name {
			subtree.document.Fault(strictyaml.Index("key_hashes", n), "make a new key", "this key belongs to another team")
		}
	}
}

// checkTeams checks that a new fleet subtree keeps what the teams use.
func (t *Tree) checkTeams(document *strictyaml.Document) {
	declared := indexDeclarations(&t.Fleet)
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		team := t.Teams[name]
		for _, m := range declared.mismatches(&team) {
			document.Fault(m.fleetPath, "change "+TeamSubtree(name)+" first, or keep what it uses",
				"%s needs what this would take away: %s: %s", TeamSubtree(name), m.teamPath, m.problem)
		}
	}
}
