package e2e_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// versionAt reads a subtree's version at one instance; 0 when it has none.
func (f *testFleet) versionAt(t *testing.T, i *instance, name string) (uint64, error) {
	t.Helper()
	reply, err := f.operatorAs(t, operatorKey, i).GetSettings(callContext(t), &pb.GetSettingsRequest{Name: name})
	if err != nil {
		return 0, err
	}
	if len(reply.GetDocuments()) == 0 {
		return 0, nil
	}
	return reply.GetDocuments()[0].GetVersion(), nil
}

// An operator's change is committed and the leader dies before the answer
// leaves. The operator sends the same change again to another instance and
// must get the first result, not a conflict with its own change.
func TestChangeResentAfterTheLeaderDiedIsAppliedOnce(t *testing.T) {
	f := startFleet(t, oneZone())
	for round := range 3 {
		leader := f.leader(t, f.instances...)
		id := fmt.Sprintf("change-%d", round)
		version := uint64(round + 1)
		yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", round+2)
		sent := make(chan error, 1)
		go func() { sent <- f.change(t, f.operatorAs(t, operatorKey, leader), "teams/t", version, id, yaml) }()
		leader.kill(t)
		<-sent // lost or answered: the operator can't tell in general
		eventually(t, callTime, func() error {
			return f.change(t, f.operatorAs(t, operatorKey, f.others(leader)...), "teams/t", version, id, yaml)
		})
		leader.start(t)
		f.awaitCurrent(t, leader)
		f.awaitVersion(t, version+1, f.instances...)
	}
}

func (f *testFleet) wantVersion(t *testing.T, i *instance, name string, want uint64) error {
	t.Helper()
	got, err := f.versionAt(t, i, name)
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("%s has version %d of %s, want %d", i.id, got, name, want)
	}
	return nil
}

// awaitVersion waits until the instances have this version of the team.
func (f *testFleet) awaitVersion(t *testing.T, version uint64, at ...*instance) {
	t.Helper()
	for _, i := range at {
		eventually(t, callTime, func() error { return f.wantVersion(t, i, "teams/t", version) })
	}
}

// awaitShare gives the team a share, sending the change until it is in force.
func (f *testFleet) awaitShare(t *testing.T, by *operator.Client, version uint64, id string, share int) {
	t.Helper()
	yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", share)
	eventually(t, callTime, func() error { return f.change(t, by, "teams/t", version, id, yaml) })
}

// The leader is cut off silently for long, both ways. Operators go on with the
// rest. The cut-off leader must neither answer reads nor take requests by what
// it knows, and on its return it must not depose the new leader.
func TestLeaderCutOffForLongNeitherAnswersNorDisturbs(t *testing.T) {
	f := startFleet(t, oneZone())
	old := f.leader(t, f.instances...)
	rest := f.others(old)
	f.isolate(old, true)

	f.awaitShare(t, f.operatorAs(t, operatorKey, rest...), 1, "during the cut", 3)
	eventually(t, callTime, func() error {
		if ready(t, old) == nil {
			return fmt.Errorf("the cut-off entry still takes requests")
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := f.operatorAs(t, operatorKey, old).GetSettings(ctx, &pb.GetSettingsRequest{Name: "teams/t"})
	assert.Assert(t, err != nil, "the cut-off leader answered a read")

	now := f.leader(t, rest...)
	before, err := f.operatorAs(t, operatorKey, now).Status(callContext(t), nil)
	assert.NilError(t, err)
	f.isolate(old, false)
	f.awaitCurrent(t, old)
	after, err := f.operatorAs(t, operatorKey, now).Status(callContext(t), nil)
	assert.NilError(t, err)
	assert.Equal(t, after.GetLeaderInstance(), before.GetLeaderInstance())
	assert.Equal(t, after.GetTerm(), before.GetTerm())
	assert.NilError(t, f.wantVersion(t, old, "teams/t", 2))
}

// One way only: a control instance hears nobody but is heard, then the other
// way round. In both the operators' changes go on, and once it is healed the
// instance has them all.
func TestControlInstanceCutOffOneWay(t *testing.T) {
	for name, cut := range map[string]func(f *testFleet, victim *instance, cut bool){
		"hears nobody":       (*testFleet).deafen,
		"is heard by nobody": (*testFleet).mute,
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, oneZone())
			victim := f.leader(t, f.instances...)
			rest := f.others(victim)
			cut(f, victim, true)
			f.awaitShare(t, f.operatorAs(t, operatorKey, rest...), 1, "one way", 4)
			cut(f, victim, false)
			f.awaitCurrent(t, f.instances...)
			f.awaitVersion(t, 2, f.instances...)
		})
	}
}

// An instance loses its disk and comes back empty; it must not vote, so that
// it can't help elect a leader without the accepted changes. The operator
// removes the old disk and adds the new one. Right after this repair a second
// instance is lost, and every accepted change must still be there.
func TestDiskLostThenASecondInstanceRightAfterTheRepair(t *testing.T) {
	f := startFleet(t, oneZone())
	for version := uint64(1); version <= 5; version++ {
		yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", version+1)
		assert.NilError(t, f.change(t, f.operator, "teams/t", version, fmt.Sprintf("c%d", version), yaml))
	}
	victim := f.others(f.leader(t, f.instances...))[0]
	victim.kill(t)
	victim.loseDisk(t)
	victim.start(t)
	rest := f.others(victim)
	f.awaitCurrent(t, rest...)
	f.replaceDisk(t, victim, rest)

	second := f.leader(t, f.instances...)
	if second == victim {
		second = rest[0]
	}
	second.kill(t)
	left := f.others(second)
	f.leader(t, left...)
	f.awaitVersion(t, 6, left...)
	f.awaitShare(t, f.operatorAs(t, operatorKey, left...), 6, "after", 9)
}

// replaceDisk removes a member whose disk is lost and adds its new one, and
// waits until that votes.
func (f *testFleet) replaceDisk(t *testing.T, victim *instance, rest []*instance) {
	t.Helper()
	by := f.operatorAs(t, operatorKey, rest...)
	oldDisk := diskOf(t, by, victim.id)
	var own *pb.Member
	eventually(t, callTime, func() error {
		member, err := f.operatorAs(t, operatorKey, victim).DiskIdentity(callContext(t), nil)
		own = member
		return err
	})
	assert.Assert(t, own.GetDiskId() != oldDisk, "an empty disk has a new identity")
	eventually(t, callTime, func() error {
		_, err := by.ChangeMember(callContext(t), &pb.ChangeMemberRequest{Remove: true, Member: &pb.Member{InstanceId: victim.id, DiskId: oldDisk}})
		if err != nil && diskOf(t, by, victim.id) == "" {
			return nil // done by an earlier try
		}
		return err
	})
	eventually(t, callTime, func() error {
		_, err := by.ChangeMember(callContext(t), &pb.ChangeMemberRequest{Member: &pb.Member{InstanceId: victim.id, DiskId: own.GetDiskId(), RpcAddress: f.advertised(victim)}})
		if votes(t, by, own.GetDiskId()) {
			return nil
		}
		return fmt.Errorf("not a voter yet: %v", err)
	})
}

// members is the control group; none when nobody says.
func members(t *testing.T, by *operator.Client) []*pb.MemberStatus {
	t.Helper()
	status, err := by.Status(callContext(t), nil)
	if err != nil {
		return nil
	}
	return status.GetMembers()
}

func diskOf(t *testing.T, by *operator.Client, id string) string {
	t.Helper()
	for _, m := range members(t, by) {
		if m.GetMember().GetInstanceId() == id {
			return m.GetMember().GetDiskId()
		}
	}
	return ""
}

func votes(t *testing.T, by *operator.Client, disk string) bool {
	t.Helper()
	return slices.ContainsFunc(members(t, by), func(m *pb.MemberStatus) bool {
		return m.GetMember().GetDiskId() == disk && !m.GetMember().GetLearner()
	})
}

// A control instance is down while more than 500 changes pass; then all are
// killed and started again. It must have every change, in order, by snapshot
// or by log.
func TestRestartAfterFiveHundredChangesHavePassedBy(t *testing.T) {
	f := startFleet(t, oneZone())
	victim := f.others(f.leader(t, f.instances...))[0]
	victim.kill(t)
	by := f.operatorAs(t, operatorKey, f.others(victim)...)
	const changes = 520
	const teams = 8
	var group sync.WaitGroup
	failures := make(chan error, teams)
	for team := range teams {
		group.Go(func() { failures <- f.changeOften(t, by, fmt.Sprintf("x%d", team), changes/teams) })
	}
	group.Wait()
	for range teams {
		assert.NilError(t, <-failures)
	}
	victim.start(t)
	f.awaitCurrent(t, victim)
	for team := range teams {
		assert.NilError(t, f.wantVersion(t, victim, fmt.Sprintf("teams/x%d", team), changes/teams))
	}
	for _, i := range f.instances {
		i.kill(t)
	}
	for _, i := range f.instances {
		i.start(t)
	}
	f.awaitCurrent(t, f.instances...)
	for _, i := range f.instances {
		assert.NilError(t, f.wantVersion(t, i, "teams/x0", changes/teams))
	}
}

func (f *testFleet) changeOften(t *testing.T, by *operator.Client, team string, times int) error {
	for n := range times {
		yaml := teamYAML(team, "key-"+team, "a") + fmt.Sprintf("share: %d\n", n+1)
		result := send(t, by, settings.TeamPrefix+team, uint64(n), fmt.Sprintf("%s-%d", team, n), yaml)
		if result.GetStatus() != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
			return fmt.Errorf("%s %d: %s %s", team, n, result.GetStatus(), result.GetDetail())
		}
	}
	return nil
}

// Two operators read one subtree, change it, and send their changes at the
// same moment with equal versions, each through another instance. Exactly one
// wins each round; the other sees the newer version in its conflict.
func TestOperatorsRaceWithEqualVersions(t *testing.T) {
	f := startFleet(t, oneZone())
	const rounds = 100
	for round := range rounds {
		version := uint64(round + 1)
		results := make(chan *pb.ChangeResult, 2)
		for n := range 2 {
			by := f.operatorAs(t, operatorKey, f.instances[(round+n)%3])
			yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d.%d\n", round+1, n+1)
			go func() { results <- send(t, by, "teams/t", version, fmt.Sprintf("r%d-%d", round, n), yaml) }()
		}
		first, second := <-results, <-results
		won := 0
		for _, r := range []*pb.ChangeResult{first, second} {
			switch r.GetStatus() {
			case pb.ChangeStatus_CHANGE_STATUS_ACCEPTED:
				won++
			case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
				assert.Equal(t, r.GetCurrent().GetVersion(), version+1)
			default:
				t.Fatalf("round %d: %s %s", round, r.GetStatus(), r.GetDetail())
			}
		}
		assert.Equal(t, won, 1, "round %d", round)
	}
}

// send applies a subtree and doesn't wait until it is in force.
func send(t *testing.T, by *operator.Client, name string, version uint64, id, yaml string) *pb.ChangeResult {
	reply, err := by.Change(callContext(t), &pb.ChangeRequest{Change: &pb.ChangeSubtree{
		Name: name, ExpectedVersion: version, ChangeId: id, Yaml: []byte(yaml),
	}})
	if err != nil {
		return &pb.ChangeResult{Detail: err.Error()}
	}
	return reply.GetResult()
}

// The leader freezes for longer than its lease and wakes with an operator's
// read in hand. The rest has changed the settings meanwhile; the read must show
// the change or fail, never the old version.
func TestFrozenLeaderWakesWithAReadInHand(t *testing.T) {
	f := startFleet(t, oneZone())
	old := f.leader(t, f.instances...)
	rest := f.others(old)
	old.freeze(t)
	versions := make(chan uint64, 1)
	go func() {
		version, err := f.versionAt(t, old, "teams/t")
		if err != nil {
			version = 2 // a refusal is as good
		}
		versions <- version
	}()
	f.awaitShare(t, f.operatorAs(t, operatorKey, rest...), 1, "while frozen", 5)
	old.thaw(t)
	assert.Equal(t, <-versions, uint64(2))
	f.awaitCurrent(t, f.instances...)
}

// The leader dies while a lost member is being replaced. The replacement must
// end, and no accepted change may be lost.
func TestLeaderKilledWhileAMemberIsReplaced(t *testing.T) {
	f := startFleet(t, plan{zones: []string{"a", "a", "a", "a", "a"}, control: 5})
	assert.NilError(t, f.change(t, f.operator, "teams/t", 1, "before", teamYAML("t", teamKey, "a")+"share: 2\n"))
	leader := f.leader(t, f.instances...)
	victim := f.others(leader)[0]
	victim.kill(t)
	victim.loseDisk(t)
	victim.start(t)
	replaced := make(chan struct{})
	go func() {
		defer close(replaced)
		f.replaceDisk(t, victim, f.others(victim, leader))
	}()
	leader.kill(t)
	<-replaced
	leader.start(t)
	f.awaitCurrent(t, f.instances...)
	f.awaitVersion(t, 2, f.instances...)
}

// A control instance that was never initialised must not make a fleet of its
// own from its empty folder: it says that it isn't initialised.
func TestEmptyFolderNeverBecomesAFleetByItself(t *testing.T) {
	f := newFleet(t, oneZone())
	for _, i := range f.instances {
		i.start(t)
	}
	secret, err := os.ReadFile(f.key("fleet-secret.hex"))
	assert.NilError(t, err)
	by := f.operatorAs(t, strings.TrimSpace(string(secret)), f.instances[0])
	eventually(t, callTime, func() error {
		_, err := by.Status(callContext(t), nil)
		return err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	reply, err := by.Change(ctx, &pb.ChangeRequest{Change: &pb.ChangeSubtree{Name: "fleet", ChangeId: "x", Yaml: []byte(fleetYAML(oneZone()))}})
	assert.Assert(t, err != nil, "%v", reply)
	assert.Assert(t, ready(t, f.instances[0]) != nil)
}
