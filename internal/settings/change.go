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

// EmptyTree is the tree of a fleet without any settings.
func EmptyTree() *Tree {
	return &Tree{
		Fleet:    defaultFleet(),
		Teams:    map[fleet.Team]Team{},
		Versions: map[string]uint64{},
		teamOf:   map[keyhash.Hash]fleet.Team{},
	}
}

// CheckChange checks the YAML of one subtree against tree, both ways, and
// gives the tree after the change. Empty YAML removes a team. The result has
// the subtree's version raised by one; Index is left to the caller. It reads
// nothing but its arguments, so each replica that applies the same changes in
// the same order accepts the same ones. tree itself stays as it was, and only
// the one subtree is parsed.
func CheckChange(tree *Tree, name string, yaml []byte) (*Tree, error) {
	return CheckChangeFile(tree, name+fileSuffix, name, yaml)
}

// CheckChangeFile is CheckChange for YAML whose faults are to name file.
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

// Apply puts accepted documents into a tree, in order, and gives them the
// versions that they were accepted with and the tree the index.
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

// Build makes a tree out of the current documents of all subtrees, in any
// order. Documents of removed subtrees (empty YAML) only give their version.
func Build(documents []*pb.SubtreeDocument, index uint64) (*Tree, error) {
	tree := EmptyTree()
	tree.Index = index
	// The fleet first: teams are checked against it.
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
	next.dropTeam(fleet.Team(team))
	return next, nil
}

// checkTeamUse compares a team's subtree with the rest of the tree.
func (t *Tree) checkTeamUse(subtree *Subtree) {
	if !t.hasFleet() {
		subtree.document.Fault("", "apply fleet.yaml first", "the tree has no fleet subtree yet")
		return
	}
	for _, m := range declaredBy(&t.Fleet).mismatches(subtree.Team) {
		subtree.document.Fault(m.teamPath, m.want, "%s", m.problem)
	}
	for n, hash := range subtree.Team.KeyHashes {
		// One key must name one team, or a caller's requests would run within
		// another team's zones. The other team isn't named: its operators may
		// be others.
		owner, taken := t.teamByHash(hash)
		if taken && owner != subtree.Team.Name {
			subtree.document.Fault(strictyaml.Index("key_hashes", n), "make a new key", "this key belongs to another team")
		}
	}
}

// checkTeams compares a new fleet subtree with all teams.
func (t *Tree) checkTeams(document *strictyaml.Document) {
	offered := declaredBy(&t.Fleet)
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		team := t.Teams[name]
		for _, m := range offered.mismatches(&team) {
			document.Fault(m.fleetPath, "change "+TeamSubtree(name)+" first, or keep what it uses",
				"%s needs what this would take away: %s: %s", TeamSubtree(name), m.teamPath, m.problem)
		}
	}
}
