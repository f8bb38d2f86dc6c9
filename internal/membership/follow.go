package membership

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// errMissingDeltas means that deltas are missing between the state and a reply,
// so that the whole state must be pulled.
var errMissingDeltas = errors.New("deltas are missing")

// follower builds states from pull replies. It does no I/O and reads no clock. It
// is not safe for concurrent use.
type follower struct {
	build     func([]*pb.SubtreeDocument, uint64) (*settings.Tree, error)
	change    func(*settings.Tree, string, []byte) (*settings.Tree, error)
	documents map[string]*pb.SubtreeDocument
	state     *State
}

func newFollower(o Options) *follower {
	return &follower{
		build:     o.Build,
		change:    o.Change,
		documents: make(map[string]*pb.SubtreeDocument),
		state: &State{
			Tree:              settings.EmptyTree(),
			View:              fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}},
			LedgerGroups:      map[fleet.LedgerShard]fleet.LedgerGroup{},
			Suspects:          map[fleet.Fingerprint]fleet.Suspect{},
			FormerZoneClasses: map[fleet.Team][]string{},
		},
	}
}

// applyReply applies the reply to a pull with AfterIndex after. It ignores a
// reply that ends at or before the state's index. Otherwise a delayed reply, or
// one from a lagging member, could restore an older version of a subtree.
func (f *follower) applyReply(after uint64, r *pb.PullReply) (changed bool, err error) {
	if s := r.GetSnapshot(); s != nil {
		return f.applySnapshot(s)
	}
	if r.GetThroughIndex() <= f.state.Index {
		return false, nil
	}
	if after > f.state.Index || f.state.Index == 0 {
		return false, errMissingDeltas
	}
	next := *f.state
	for _, d := range r.GetDeltas() {
		if d.GetIndex() <= next.Index {
			continue
		}
		if err := f.applyDelta(&next, d); err != nil {
			return false, err
		}
		next.Index = d.Index
		f.publish(&next)
	}
	next.Index = max(next.Index, r.ThroughIndex)
	f.publish(&next)
	return true, nil
}

// publish sets the state to a copy of next, so that next can be changed further.
func (f *follower) publish(next *State) {
	copied := *next
	f.state = &copied
}

func (f *follower) applySnapshot(s *pb.FleetState) (changed bool, err error) {
	if s.Index <= f.state.Index {
		return false, nil
	}
	if f.state.FleetID != "" && f.state.FleetID != s.FleetId {
		return false, trace.BadParameter("the state is of fleet %q, not of %q", s.FleetId, f.state.FleetID)
	}
	tree, err := f.build(s.Subtrees, s.Index)
	if err != nil {
		return false, trace.Wrap(err)
	}
	next := &State{
		Index:             s.Index,
		FleetID:           s.FleetId,
		View:              fleet.View{Number: s.ViewNumber, Instances: make(map[fleet.InstanceID]fleet.Instance, len(s.Instances))},
		LedgerGroups:      make(map[fleet.LedgerShard]fleet.LedgerGroup, len(s.LedgerGroups)),
		Suspects:          make(map[fleet.Fingerprint]fleet.Suspect, len(s.Suspects)),
		FormerZoneClasses: make(map[fleet.Team][]string),
	}
	f.documents = make(map[string]*pb.SubtreeDocument, len(s.Subtrees))
	for _, d := range s.Subtrees {
		f.documents[d.Name] = d
	}
	next.Tree = f.withVersions(tree, s.Index)
	for _, i := range s.Instances {
		next.View.Instances[fleet.InstanceID(i.Id)] = fleet.InstanceFromProto(i)
	}
	updateGroups(next.LedgerGroups, s.LedgerGroups)
	updateSuspects(next.Suspects, s.Suspects)
	updateFormerClasses(next.FormerZoneClasses, s.FormerClasses)
	f.state = next
	return true, nil
}

func (f *follower) applyDelta(next *State, d *pb.Delta) error {
	if err := applyView(next, d); err != nil {
		return err
	}
	if err := f.applySubtrees(next, d); err != nil {
		return err
	}
	if len(d.LedgerGroups) > 0 {
		next.LedgerGroups = maps.Clone(next.LedgerGroups)
		updateGroups(next.LedgerGroups, d.LedgerGroups)
	}
	if len(d.Suspects) > 0 {
		next.Suspects = maps.Clone(next.Suspects)
		updateSuspects(next.Suspects, d.Suspects)
	}
	if len(d.FormerClasses) > 0 {
		next.FormerZoneClasses = maps.Clone(next.FormerZoneClasses)
		updateFormerClasses(next.FormerZoneClasses, d.FormerClasses)
	}
	return nil
}

func applyView(next *State, d *pb.Delta) error {
	if len(d.Joined)+len(d.Left) == 0 {
		return nil
	}
	if d.ViewNumber != next.View.Number+1 {
		return errMissingDeltas
	}
	instances := maps.Clone(next.View.Instances)
	for _, i := range d.Left {
		delete(instances, fleet.InstanceID(i.Id))
	}
	for _, i := range d.Joined {
		instances[fleet.InstanceID(i.Id)] = fleet.InstanceFromProto(i)
	}
	next.View = fleet.View{Number: d.ViewNumber, Instances: instances}
	return nil
}

func (f *follower) applySubtrees(next *State, d *pb.Delta) error {
	if len(d.Subtrees) == 0 {
		return nil
	}
	documents := maps.Clone(f.documents)
	tree := next.Tree
	for _, s := range d.Subtrees {
		if s.Version != documents[s.Name].GetVersion()+1 && documents[s.Name] != nil {
			return errMissingDeltas
		}
		documents[s.Name] = s
		var err error
		tree, err = f.replaceSubtree(tree, s, documents, d.Index)
		if err != nil {
			return trace.Wrap(err, "subtree %s version %d", s.Name, s.Version)
		}
	}
	f.documents = documents
	next.Tree = f.withVersions(tree, d.Index)
	return nil
}

func (f *follower) replaceSubtree(tree *settings.Tree, s *pb.SubtreeDocument, all map[string]*pb.SubtreeDocument, index uint64) (*settings.Tree, error) {
	if f.change != nil {
		return f.change(tree, s.Name, s.Yaml)
	}
	present := make([]*pb.SubtreeDocument, 0, len(all))
	for _, d := range all {
		if len(d.Yaml) > 0 {
			present = append(present, d)
		}
	}
	return f.build(present, index)
}

// withVersions returns a copy of the tree with index and the documents' versions.
func (f *follower) withVersions(tree *settings.Tree, index uint64) *settings.Tree {
	next := *tree
	next.Index = index
	next.Versions = make(map[string]uint64, len(f.documents))
	for name, d := range f.documents {
		if len(d.Yaml) > 0 {
			next.Versions[name] = d.Version
		}
	}
	return &next
}

func updateGroups(groups map[fleet.LedgerShard]fleet.LedgerGroup, from []*pb.LedgerGroup) {
	for _, g := range from {
		shard := fleet.LedgerShard{ZoneClass: g.ZoneClass, Shard: g.Shard}
		if g.Removed {
			delete(groups, shard)
			continue
		}
		groups[shard] = fleet.LedgerGroup{
			Shard:             shard,
			Epoch:             g.Epoch,
			Replicas:          replicasFromProto(g.Replicas),
			Sources:           replicasFromProto(g.Sources),
			HistoryLostUnixMs: g.HistoryLostUnixMs,
		}
	}
}

func replicasFromProto(from []*pb.LedgerReplica) []fleet.LedgerReplica {
	out := make([]fleet.LedgerReplica, len(from))
	for n, r := range from {
		out[n] = fleet.LedgerReplica{
			Owner: fleet.Owner{Instance: fleet.InstanceID(r.InstanceId), Incarnation: fleet.Incarnation(r.Incarnation)},
			Ready: r.Ready,
		}
	}
	return out
}

// updateFormerClasses doesn't modify lists in place, since older states share
// them.
func updateFormerClasses(former map[fleet.Team][]string, from []*pb.FormerClass) {
	for _, f := range from {
		team := fleet.Team(f.Team)
		classes := slices.DeleteFunc(slices.Clone(former[team]), func(c string) bool { return c == f.ZoneClass })
		if !f.Removed {
			classes = append(classes, f.ZoneClass)
			slices.Sort(classes)
		}
		if len(classes) == 0 {
			delete(former, team)
			continue
		}
		former[team] = classes
	}
}

func updateSuspects(suspects map[fleet.Fingerprint]fleet.Suspect, from []*pb.SuspectRecord) {
	for _, s := range from {
		f, ok := fleet.FingerprintFromBytes(s.Fingerprint)
		if !ok {
			continue
		}
		if s.Crashes == 0 {
			delete(suspects, f)
			continue
		}
		suspects[f] = fleet.Suspect{
			Fingerprint: f,
			Crashes:     int(s.Crashes),
			Quarantined: s.Quarantined,
			Updated:     time.UnixMilli(s.UpdatedUnixMs),
		}
	}
}
