package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Guards against findings on crashing requests that reach an entry seconds late: its
// Follow call must not wait for other changes first.
func TestFollowReturnsCrashFindingsAtOnce(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *fleet) {
		i := f.instances[0]
		f.await(5*time.Second, "a leader", func() bool { return i.node.Status().IsLeader })
		time.Sleep(time.Second)
		revision, _ := i.machine.Revision()
		question := &pb.FollowRequest{DocumentVersion: 1, Revision: revision, WaitMs: 1000}
		began := time.Now()
		go func() {
			time.Sleep(200 * time.Millisecond)
			fingerprint := make([]byte, 16)
			_, err := i.board.ReportCrashes(t.Context(), &pb.ReportCrashesRequest{Known: []*pb.CrashFinding{{Fingerprint: fingerprint, Weight: 6}}})
			assert.Check(t, err)
		}()
		reply, err := i.Follow(f.within(2*time.Second), question)
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Crashes.Findings), 1)
		assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%v", time.Since(began))
		question.Crashes = reply.Crashes.Mark
		reply, err = i.Follow(f.within(2*time.Second), question)
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Crashes.Findings), 0, "already read")
		assert.Assert(t, time.Since(began) > time.Second, "findings already read must not end the wait")
	})
}
