package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// followWithoutChanges sends a Follow call of an entry that has all changes and returns
// the reply.
func (f *fleet) followWithoutChanges(i *instance) *pb.FollowReply {
	f.t.Helper()
	revision, _ := i.machine.Revision()
	reply, err := i.Follow(f.within(2*time.Second), &pb.FollowRequest{DocumentVersion: 1, Revision: revision, WaitMs: 1000})
	assert.NilError(f.t, err)
	return reply
}

// A member is cut off from its leader. The age of its view that it reports to entries
// must keep growing: with an age that is too low, entries would accept revoked keys.
func TestConfirmationAgeOfAPartitionedMember(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.formed()
		assert.NilError(t, f.put(f.instances[0], 1))
		i := f.instances[1]
		if i.node.Status().IsLeader {
			i = f.instances[2]
		}
		time.Sleep(time.Second)
		age := time.Duration(f.followWithoutChanges(i).AgeUs) * time.Microsecond
		assert.Assert(t, age > 0 && age <= 2*seenReportInterval, "%v", age)
		f.setCut(true, i)
		time.Sleep(5 * time.Second)
		age = time.Duration(f.followWithoutChanges(i).AgeUs) * time.Microsecond
		assert.Assert(t, age >= 5*time.Second, "%v", age)
		f.setCut(false, i)
	})
}

// All members are killed and restart. Before there is a leader, no member can confirm
// that it knows the newest configuration. Entries that wait for that confirmation must
// get it with the first report to the leader; otherwise they reject callers for another
// second.
func TestConfirmationAfterAllMembersRestart(t *testing.T) {
	runFleet(t, 5, func(t *testing.T, f *fleet) {
		f.formed()
		assert.NilError(t, f.put(f.instances[0], 1))
		for _, i := range f.instances {
			f.restart(i, false)
		}
		began := time.Now()
		revision, _ := f.instances[3].machine.Revision()
		reply, err := f.instances[3].Follow(f.within(2*time.Second), &pb.FollowRequest{DocumentVersion: 1, Revision: revision + 1000, WaitMs: 1000})
		assert.NilError(t, err)
		assert.Assert(t, reply.AgeUs > 0, "answered after %v without a confirmation", time.Since(began))
		led := f.await(time.Second, "a leader", func() bool { return f.leader(f.instances...) != nil })
		assert.Assert(t, led == 0)
		assert.Assert(t, time.Since(began) < 1100*time.Millisecond, "%v", time.Since(began))
	})
}
