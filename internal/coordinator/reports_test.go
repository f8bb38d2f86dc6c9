package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// slowLeader takes some processor time for each command, one after the other.
type slowLeader struct {
	each      time.Duration
	processor chan struct{} // holds one while it works; guards the fields below
	commands  int
	taken     map[string]bool // endpoints
}

func newSlowLeader(each time.Duration) *slowLeader {
	return &slowLeader{each: each, processor: make(chan struct{}, 1), taken: map[string]bool{}}
}

func (l *slowLeader) commit(ctx context.Context, command *pb.CatalogCommand) error {
	l.processor <- struct{}{}
	defer func() { <-l.processor }()
	l.commands++
	sleep.For(context.Background(), l.each)
	if ctx.Err() != nil {
		return ctx.Err() // it was done, and too late
	}
	for _, e := range command.GetReports().GetEndpoints() {
		l.taken[e.Id] = true
	}
	return nil
}

// All endpoints of a large fleet report within one heartbeat as it starts. With
// a command for each, the leader is busy for twelve seconds, nobody is answered
// in time, everybody reports again, and the fleet never comes up.
func TestThousandsOfEndpointsRegisterAtOnce(t *testing.T) {
	const (
		members   = 9
		endpoints = 3000
		heartbeat = 1200 * time.Millisecond
		patience  = time.Second // of an endpoint for an answer
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		leader := newSlowLeader(4 * time.Millisecond)
		var list []*reports
		var running, answered sync.WaitGroup
		for range members {
			r := newReports(leader.commit)
			list = append(list, r)
			running.Go(func() { _ = r.run(ctx) })
		}
		for n := range endpoints {
			answered.Go(func() {
				time.Sleep(heartbeat * time.Duration(n) / endpoints)
				asking, done := context.WithTimeout(ctx, patience)
				defer done()
				e := &pb.EndpointRecord{Id: fmt.Sprint(n), Service: "s", Address: fmt.Sprint("a:", n), Sequence: 1}
				assert.Check(t, list[n%members].endpoint(asking, e))
			})
		}
		answered.Wait()
		assert.Equal(t, len(leader.taken), endpoints)
		most := members * int(heartbeat/reportPace+2)
		assert.Assert(t, leader.commands <= most, "%d commands, %d at most", leader.commands, most)
		cancel()
		running.Wait()
	})
}

// A report that comes alone must not wait for others.
func TestReportThatComesAloneGoesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		leader := newSlowLeader(0)
		r := newReports(leader.commit)
		var running sync.WaitGroup
		running.Go(func() { _ = r.run(ctx) })
		for range 3 {
			began := time.Now()
			assert.NilError(t, r.endpoint(ctx, &pb.EndpointRecord{Id: "e"}))
			assert.Equal(t, time.Since(began), time.Duration(0))
			time.Sleep(2 * reportPace)
		}
		cancel()
		running.Wait()
	})
}

// A leader that does not answer holds up what waits. More than a batch must not
// pile up at a member: each report is answered at once that can't be taken.
func TestReportsThatWaitAreBounded(t *testing.T) {
	r := newReports(func(context.Context, *pb.CatalogCommand) error { return nil })
	for n := range mostReports {
		assert.Assert(t, r.join(&pb.Reports{Endpoints: []*pb.EndpointRecord{{Id: fmt.Sprint(n)}}}) != nil)
	}
	err := r.entry(context.Background(), &pb.EntryRecord{Id: "late"})
	assert.ErrorIs(t, err, ErrUnavailable)
}
