package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/storage/faultfs"
)

// Guards against a group that can't reach a quorum after replacements. Two of six
// instances are replaced within seconds; then all lose power, and two more come back with
// empty disks, which is the loss that the fleet must bear. The two replaced instances
// still counted as voters, so that the four remaining disks were no majority of eight: no
// change was accepted, and entries served an old configuration.
func TestReplacedInstancesDontStopTheGroup(t *testing.T) {
	runFleetOf(t, 6, fleet{tolerance: 2}, func(t *testing.T, f *fleet) {
		f.formed()
		for n := range 2 {
			f.instances[n].stop()
			f.instances[n].stop = func() {}
			fresh := &instance{address: fmt.Sprint("fresh", n), disk: faultfs.New(), seeds: []string{"control2", "control3", "control4"}}
			f.instances = append(f.instances, fresh)
			f.start(fresh)
			f.await(5*time.Second, "the replacement a member", fresh.isMember)
		}
		// Each replacement has had the time after which its predecessor no longer counts.
		time.Sleep(6 * time.Second)
		live := f.instances[2:]
		f.await(2*time.Second, "a change accepted", func() bool { return f.put(live[2], 7) == nil })
		for _, i := range live {
			i.stop()
		}
		for n, i := range live {
			if n < 2 {
				i.disk = faultfs.New()
			}
			i.bootstrap = false
			f.start(i)
		}
		f.await(15*time.Second, "a change accepted after the fault", func() bool { return f.put(live[2], 8) == nil })
	})
}

func TestQuorumAtRisk(t *testing.T) {
	for _, test := range []struct {
		name                          string
		responsive, silent, tolerance int
		want                          bool
	}{
		{"none silent", 5, 0, 1, false},
		{"one of five down", 4, 1, 1, false},
		{"one of three down", 2, 1, 1, false},
		{"one replaced, of six", 6, 1, 2, false},
		{"two replaced, of six", 6, 2, 2, true},
		{"two of five cut off", 3, 2, 1, true},
		{"three of five cut off", 2, 3, 1, false},
		{"two of six cut off", 4, 2, 2, false},
		{"one of six down", 5, 1, 2, false},
		{"three replaced, of five", 5, 3, 1, true},
	} {
		assert.Equal(t, quorumAtRisk(test.responsive, test.silent, test.tolerance), test.want, test.name)
	}
}
