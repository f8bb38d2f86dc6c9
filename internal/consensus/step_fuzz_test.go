package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// A faulty peer may send any message. A follower must neither panic nor lower
// its commit index.
func FuzzStep(f *testing.F) {
	for _, m := range []*pb.ConsensusMessage{
		{Kind: pb.MessageKind_MESSAGE_KIND_APPEND, Term: 2, PrevIndex: 1, PrevTerm: 1, Entries: []*pb.LogEntry{{Index: 2, Term: 2, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP}}, Commit: 2},
		{Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT, Term: 2, Snapshot: &pb.Snapshot{Index: 9, Term: 2, Data: []byte("x"), Membership: &pb.Membership{}}, SnapshotSize: 1},
		{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, Term: 1, Commit: 9},
		{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE, Term: 7},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := newCore(t, "b")
		now := testStart
		for _, data := range [][]byte{first, second} {
			m := &pb.ConsensusMessage{}
			if proto.Unmarshal(data, m) != nil {
				return
			}
			m.From, m.To = "a", "b"
			now = now.Add(time.Second)
			commit := c.Status().Commit
			c.Step(now, m)
			if c.Status().Commit < commit {
				t.Fatalf("commit fell from %d to %d", commit, c.Status().Commit)
			}
			c.Advance(now, c.Ready())
		}
		c.Tick(now.Add(time.Minute))
	})
}
