package follower

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// readCrashes counts what a member was told to have been read.
type readCrashes struct {
	mu    sync.Mutex
	marks map[string]*pb.CrashMark
}

func (r *readCrashes) Mark(member string) *pb.CrashMark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks[member]
}

func (r *readCrashes) Take(member string, news *pb.CrashNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks[member] = news.Mark
}

// Guards against findings on requests that crash endpoints which are read from one member and
// counted as read at another: each is told its own mark.
func TestCrashesAreReadFromEachMember(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		read := 0
		for n := range f.members {
			read += int(f.crashes.Mark(address(n)).GetEpoch())
		}
		assert.Assert(t, read > 2)
		assert.Assert(t, read <= f.questions(), "%d marks of %d questions", read, f.questions())
	})
}
