package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/follower"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// entryLinkRate is the rate of a link of 10 Mbit/s in bytes per second.
const entryLinkRate = 1_250_000

// inForceWithin is how long a confirmed change may take to be in force at each entry. 2 s
// is the shortest bound of any fleet.
const inForceWithin = 2 * time.Second

// Guards against large changes that never arrive. An operator adds 1,400 routes, three
// times, each time followed by a small change; both are confirmed within 0.3 s. Entries
// behind links of 10 Mbit/s kept the previous configuration, for up to 4 s after the
// second growth and forever after the third. Each of an entry's two open polls was
// answered with the whole document and given up after 0.9 s regardless of progress, when
// 491,520 of 543,208 bytes had arrived. The received bytes were discarded and requested
// again from another member.
func TestGrownConfigurationIsInForceInTime(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.formed()
		entry := f.startEntry("entry")
		version := int64(0)
		for growth := range 3 {
			routes := 1400 * (growth + 1)
			for range 2 {
				version++
				assert.NilError(t, f.putRoutes(f.instances[growth], version, routes))
			}
			f.await(inForceWithin, fmt.Sprint("the configuration of ", routes, " routes"), entry.serves(version, routes))
		}
	})
}

// Guards against entries that can't start after a power loss of all machines because the
// configuration has grown. The members were back within a second, but no entry got a view
// again: its first poll was given up after 0.2 s, in which a link of 10 Mbit/s carries
// 250,000 bytes, while two replies of 276,646 bytes were in transit.
func TestEntryStartsWithAGrownConfiguration(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.formed()
		assert.NilError(t, f.putRoutes(f.instances[0], 1, 1400))
		entry := f.startEntry("entry")
		f.await(inForceWithin, "a first view", entry.serves(1, 1400))
	})
}

// entry is a follower behind its own link.
type entry struct{ *follower.Follower }

// startEntry starts an entry that runs until the test ends.
func (f *fleet) startEntry(address string) entry {
	f.net.SetLinkRate(address, entryLinkRate)
	e := entry{follower.New(follower.Options{
		Dialer: f.net.Dialer(address), Seeds: initialSeeds, Decode: decodeRoutes, Uptime: uptime,
		Self: func() *pb.EntryRecord { return &pb.EntryRecord{Id: address, Name: address} },
	})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		assert.NilError(f.t, <-ended)
	})
	return e
}

// serves returns a function that reports whether a version is in force with its last
// route.
func (e entry) serves(version int64, routes int) func() bool {
	return func() bool {
		view := e.View()
		if view == nil || view.Table == nil || view.Table.Version != version {
			return false
		}
		return view.Table.Match("example", routePath(routes-1)) != nil
	}
}

// putRoutes submits a configuration with a number of routes.
func (f *fleet) putRoutes(i *instance, version int64, routes int) error {
	return i.PutDocument(f.within(2*time.Second), version, documentOf(version, routes))
}

// documentOf returns a configuration with about 195 bytes per route. A route has the same
// bytes in all versions.
func documentOf(version int64, routes int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for n := range routes {
		fmt.Fprintf(&b, `{"name":"r-%s","host":"example","beginning":"%s","repeatable":"idempotent","timeout_ms":3000,`+
			`"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"resumable":false},`, routePath(n)[1:9], routePath(n))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// routePath returns the prefix of the n-th route; it depends on n only.
func routePath(n int) string {
	return fmt.Sprintf("/%08x/", rand.New(rand.NewPCG(uint64(n), 0)).Uint32())
}

// decodeRoutes decodes a document written by documentOf.
func decodeRoutes(source []byte, _ *routetable.Document) (*routetable.Document, error) {
	d := &routetable.Document{}
	if _, err := fmt.Sscanf(string(source[:40]), `{"version":%d,`, &d.Version); err != nil {
		return nil, err
	}
	for n := range bytes.Count(source, []byte(`"beginning"`)) {
		d.Routes = append(d.Routes, routetable.Route{
			Name: fmt.Sprint(n), Host: "example", Prefix: routePath(n), Backends: []routetable.Backend{{Service: "app", Weight: 1}},
		})
	}
	return d, nil
}
