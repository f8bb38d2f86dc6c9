package endpoint

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Forty callers at two entries concurrently acquire, wait for, renew and
// release the three slots of one engine. At no moment do more than three have
// one, nobody waits longer than its maximum wait, and in the end all are free.
func TestManyCallersAtOnce(t *testing.T) {
	withPair(t, 3, func(t *testing.T, _ *fakeNet, home, other *daemon) {
		var inUse, maxInUse, served, overdue atomic.Int32
		var callers sync.WaitGroup
		for n := range 40 {
			client := []*daemon{home, other}[n%2].client
			random := rand.New(rand.NewPCG(uint64(n), 5))
			callers.Go(func() {
				for m := range 20 {
					r := grantRequest("e1", fmt.Sprint("x", n, "-", m), time.Duration(random.IntN(3000))*time.Millisecond)
					r.Team = []fleet.Team{"sorters", "archive"}[n%2]
					began := time.Now()
					grant, _, err := client.Acquire(t.Context(), r)
					if time.Since(began) > r.MaxWait+100*time.Millisecond {
						overdue.Add(1)
					}
					if err != nil || grant == nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					now := inUse.Add(1)
					for old := maxInUse.Load(); now > old && !maxInUse.CompareAndSwap(old, now); old = maxInUse.Load() {
					}
					served.Add(1)
					time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
					inUse.Add(-1)
					client.Release(Release{Grant: *grant, Reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED, OutputTokens: 50, Busy: time.Second})
				}
			})
		}
		stop := make(chan struct{})
		var beating sync.WaitGroup
		beating.Go(func() {
			for sequence := uint64(2); ; sequence++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
					home.heartbeat(announcement("e1", 3), sequence)
				}
			}
		})
		callers.Wait()
		time.Sleep(500 * time.Millisecond)
		close(stop)
		beating.Wait()
		t.Logf("%d served, at most %d at once", served.Load(), maxInUse.Load())
		assert.Equal(t, maxInUse.Load(), int32(3))
		assert.Equal(t, overdue.Load(), int32(0))
		assert.Equal(t, home.used("e1"), 0)
		assert.Assert(t, served.Load() > 40)
	})
}
