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

// versionAt returns a subtree's version at one instance, or 0 when it has none.
func (f *testFleet) versionAt(t *testing.T, i *instance, name string) (uint64, error) {
	t.Helper()
	reply, err := f.operatorClient(t, operatorKey, i).GetSettings(callContext(t), &pb.GetSettingsRequest{Name: name})
	if err != nil {
		return 0, err
	}
	if len(reply.GetDocuments()) == 0 {
		return 0, nil
	}
	return reply.GetDocuments()[0].GetVersion(), nil
}

// An operator's change is committed and the leader dies before it replies. The
// operator sends the same change again to another instance and must get the first
// result, not a conflict with its own change.
func TestChangeResentAfterTheLeaderDiedIsAppliedOnce(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	for round := range 3 {
		leader := f.awaitLeader(t, f.instances...)
		id := fmt.Sprintf("change-%d", round)
		version := uint64(round + 1)
		yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", round+2)
		sent := make(chan error, 1)
		go func() {
			sent <- f.applySubtree(t, f.operatorClient(t, operatorKey, leader), "teams/t", version, id, yaml)
		}()
		leader.kill(t)
		<-sent // either result is possible: the kill races the reply
		eventually(t, callTimeout, func() error {
			return f.applySubtree(t, f.operatorClient(t, operatorKey, f.others(leader)...), "teams/t", version, id, yaml)
		})
		leader.start(t)
		f.awaitCurrent(t, leader)
		f.awaitVersion(t, version+1, f.instances...)
	}
}

func (f *testFleet) checkVersion(t *testing.T, i *instance, name string, want uint64) error {
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

// awaitVersion waits until the instances have this version of teams/t.
func (f *testFleet) awaitVersion(t *testing.T, version uint64, at ...*instance) {
	t.Helper()
	for _, i := range at {
		eventually(t, callTimeout, func() error { return f.checkVersion(t, i, "teams/t", version) })
	}
}

// applyShare sets the team's share and resends the change until it is in force.
func (f *testFleet) applyShare(t *testing.T, by *operator.Client, version uint64, id string, share int) {
	t.Helper()
	yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", share)
	eventually(t, callTimeout, func() error { return f.applySubtree(t, by, "teams/t", version, id, yaml) })
}

// The leader is partitioned in both directions for a long time, while operators
// change settings at the other instances. The old leader must neither answer reads
// from its stale state nor accept requests, and on its return it must not depose the
// new leader.
func TestLeaderCutOffForLongNeitherAnswersNorDisturbs(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	old := f.awaitLeader(t, f.instances...)
	rest := f.others(old)
	f.isolate(old, true)

	f.applyShare(t, f.operatorClient(t, operatorKey, rest...), 1, "during the cut", 3)
	eventually(t, callTimeout, func() error {
		if checkReady(t, old) == nil {
			return fmt.Errorf("the cut-off entry still takes requests")
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := f.operatorClient(t, operatorKey, old).GetSettings(ctx, &pb.GetSettingsRequest{Name: "teams/t"})
	assert.Assert(t, err != nil, "the cut-off leader answered a read")

	now := f.awaitLeader(t, rest...)
	before, err := f.operatorClient(t, operatorKey, now).Status(callContext(t), nil)
	assert.NilError(t, err)
	f.isolate(old, false)
	f.awaitCurrent(t, old)
	after, err := f.operatorClient(t, operatorKey, now).Status(callContext(t), nil)
	assert.NilError(t, err)
	assert.Equal(t, after.GetLeaderInstance(), before.GetLeaderInstance())
	assert.Equal(t, after.GetTerm(), before.GetTerm())
	assert.NilError(t, f.checkVersion(t, old, "teams/t", 2))
}

// A one-way partition: a control instance receives nothing but its messages arrive,
// then the reverse. In both cases operators' changes still succeed, and after the
// partition the instance catches up.
func TestControlInstanceCutOffOneWay(t *testing.T) {
	for name, cut := range map[string]func(f *testFleet, victim *instance, cut bool){
		"hears nobody":       (*testFleet).blockIncoming,
		"is heard by nobody": (*testFleet).blockOutgoing,
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, oneZonePlan())
			victim := f.awaitLeader(t, f.instances...)
			rest := f.others(victim)
			cut(f, victim, true)
			f.applyShare(t, f.operatorClient(t, operatorKey, rest...), 1, "one way", 4)
			cut(f, victim, false)
			f.awaitCurrent(t, f.instances...)
			f.awaitVersion(t, 2, f.instances...)
		})
	}
}

// An instance loses its disk and restarts empty. It must not vote, since it could
// help to elect a leader that lacks committed changes. The operator removes the old
// disk and adds the new one. Right after that a second instance is lost, and every
// committed change must still be there.
func TestDiskLostThenASecondInstanceRightAfterTheRepair(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	for version := uint64(1); version <= 5; version++ {
		yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d\n", version+1)
		assert.NilError(t, f.applySubtree(t, f.operator, "teams/t", version, fmt.Sprintf("c%d", version), yaml))
	}
	victim := f.others(f.awaitLeader(t, f.instances...))[0]
	victim.kill(t)
	victim.loseDisk(t)
	victim.start(t)
	rest := f.others(victim)
	f.awaitCurrent(t, rest...)
	f.replaceDisk(t, victim, rest)

	second := f.awaitLeader(t, f.instances...)
	if second == victim {
		second = rest[0]
	}
	second.kill(t)
	left := f.others(second)
	f.awaitLeader(t, left...)
	f.awaitVersion(t, 6, left...)
	f.applyShare(t, f.operatorClient(t, operatorKey, left...), 6, "after", 9)
}

// replaceDisk removes the member with the lost disk, adds it with its new disk and
// waits until it votes.
func (f *testFleet) replaceDisk(t *testing.T, victim *instance, rest []*instance) {
	t.Helper()
	by := f.operatorClient(t, operatorKey, rest...)
	oldDisk := diskIDOf(t, by, victim.id)
	var own *pb.Member
	eventually(t, callTimeout, func() error {
		member, err := f.operatorClient(t, operatorKey, victim).DiskIdentity(callContext(t), nil)
		own = member
		return err
	})
	assert.Assert(t, own.GetDiskId() != oldDisk, "an empty disk has a new identity")
	eventually(t, callTimeout, func() error {
		_, err := by.ChangeMember(callContext(t), &pb.ChangeMemberRequest{Remove: true, Member: &pb.Member{InstanceId: victim.id, DiskId: oldDisk}})
		if err != nil && diskIDOf(t, by, victim.id) == "" {
			return nil // an earlier call succeeded but its reply was lost
		}
		return err
	})
	eventually(t, callTimeout, func() error {
		_, err := by.ChangeMember(callContext(t), &pb.ChangeMemberRequest{Member: &pb.Member{InstanceId: victim.id, DiskId: own.GetDiskId(), RpcAddress: f.advertisedAddress(victim)}})
		if isVoter(t, by, own.GetDiskId()) {
			return nil
		}
		return fmt.Errorf("not a voter yet: %v", err)
	})
}

// members returns the control group's members, or nil when the call fails.
func members(t *testing.T, by *operator.Client) []*pb.MemberStatus {
	t.Helper()
	status, err := by.Status(callContext(t), nil)
	if err != nil {
		return nil
	}
	return status.GetMembers()
}

func diskIDOf(t *testing.T, by *operator.Client, id string) string {
	t.Helper()
	for _, m := range members(t, by) {
		if m.GetMember().GetInstanceId() == id {
			return m.GetMember().GetDiskId()
		}
	}
	return ""
}

func isVoter(t *testing.T, by *operator.Client, disk string) bool {
	t.Helper()
	return slices.ContainsFunc(members(t, by), func(m *pb.MemberStatus) bool {
		return m.GetMember().GetDiskId() == disk && !m.GetMember().GetLearner()
	})
}

// A control instance is down while more than 500 changes are committed, and must
// catch up by snapshot or by log. Then all instances are killed and restarted, and
// must still have every change.
func TestRestartAfterFiveHundredChangesHavePassedBy(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	victim := f.others(f.awaitLeader(t, f.instances...))[0]
	victim.kill(t)
	by := f.operatorClient(t, operatorKey, f.others(victim)...)
	const changes = 520
	const teams = 8
	var group sync.WaitGroup
	failures := make(chan error, teams)
	for team := range teams {
		group.Go(func() { failures <- f.changeRepeatedly(t, by, fmt.Sprintf("x%d", team), changes/teams) })
	}
	group.Wait()
	for range teams {
		assert.NilError(t, <-failures)
	}
	victim.start(t)
	f.awaitCurrent(t, victim)
	for team := range teams {
		assert.NilError(t, f.checkVersion(t, victim, fmt.Sprintf("teams/x%d", team), changes/teams))
	}
	for _, i := range f.instances {
		i.kill(t)
	}
	for _, i := range f.instances {
		i.start(t)
	}
	f.awaitCurrent(t, f.instances...)
	for _, i := range f.instances {
		assert.NilError(t, f.checkVersion(t, i, "teams/x0", changes/teams))
	}
}

func (f *testFleet) changeRepeatedly(t *testing.T, by *operator.Client, team string, times int) error {
	for n := range times {
		yaml := teamYAML(team, "key-"+team, "a") + fmt.Sprintf("share: %d\n", n+1)
		result := sendChange(t, by, settings.TeamPrefix+team, uint64(n), fmt.Sprintf("%s-%d", team, n), yaml)
		if result.GetStatus() != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
			return fmt.Errorf("%s %d: %s %s", team, n, result.GetStatus(), result.GetDetail())
		}
	}
	return nil
}

// Two operators send changes of one subtree at the same time with the same expected
// version, each through another instance. In each round exactly one is accepted,
// and the other gets a conflict with the newer version.
func TestOperatorsRaceWithEqualVersions(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	const rounds = 100
	for round := range rounds {
		version := uint64(round + 1)
		results := make(chan *pb.ChangeResult, 2)
		for n := range 2 {
			by := f.operatorClient(t, operatorKey, f.instances[(round+n)%3])
			yaml := teamYAML("t", teamKey, "a") + fmt.Sprintf("share: %d.%d\n", round+1, n+1)
			go func() { results <- sendChange(t, by, "teams/t", version, fmt.Sprintf("r%d-%d", round, n), yaml) }()
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

// sendChange applies a subtree and doesn't wait until it is in force.
func sendChange(t *testing.T, by *operator.Client, name string, version uint64, id, yaml string) *pb.ChangeResult {
	reply, err := by.Change(callContext(t), &pb.ChangeRequest{Change: &pb.ChangeSubtree{
		Name: name, ExpectedVersion: version, ChangeId: id, Yaml: []byte(yaml),
	}})
	if err != nil {
		return &pb.ChangeResult{Detail: err.Error()}
	}
	return reply.GetResult()
}

// The leader is frozen for longer than its lease with an operator's read pending,
// while the other instances change the settings. After it resumes, the read must
// return the new version or fail, never the old version.
func TestFrozenLeaderWakesWithAReadInHand(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	old := f.awaitLeader(t, f.instances...)
	rest := f.others(old)
	old.freeze(t)
	versions := make(chan uint64, 1)
	go func() {
		version, err := f.versionAt(t, old, "teams/t")
		if err != nil {
			version = 2 // an error is allowed too
		}
		versions <- version
	}()
	f.applyShare(t, f.operatorClient(t, operatorKey, rest...), 1, "while frozen", 5)
	old.resume(t)
	assert.Equal(t, <-versions, uint64(2))
	f.awaitCurrent(t, f.instances...)
}

// The leader dies while a member with a lost disk is being replaced. The
// replacement must complete, and no committed change may be lost.
func TestLeaderKilledWhileAMemberIsReplaced(t *testing.T) {
	f := startFleet(t, fleetPlan{zones: []string{"a", "a", "a", "a", "a"}, control: 5})
	assert.NilError(t, f.applySubtree(t, f.operator, "teams/t", 1, "before", teamYAML("t", teamKey, "a")+"share: 2\n"))
	leader := f.awaitLeader(t, f.instances...)
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

// Control instances that were never initialised must not form a fleet from their
// empty data folders: they answer status calls, but refuse changes and aren't ready.
func TestEmptyFolderNeverBecomesAFleetByItself(t *testing.T) {
	f := newFleet(t, oneZonePlan())
	for _, i := range f.instances {
		i.start(t)
	}
	secret, err := os.ReadFile(f.keyPath("fleet-secret.hex"))
	assert.NilError(t, err)
	by := f.operatorClient(t, strings.TrimSpace(string(secret)), f.instances[0])
	eventually(t, callTimeout, func() error {
		_, err := by.Status(callContext(t), nil)
		return err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	reply, err := by.Change(ctx, &pb.ChangeRequest{Change: &pb.ChangeSubtree{Name: "fleet", ChangeId: "x", Yaml: []byte(fleetYAML(oneZonePlan()))}})
	assert.Assert(t, err != nil, "%v", reply)
	assert.Assert(t, checkReady(t, f.instances[0]) != nil)
}
