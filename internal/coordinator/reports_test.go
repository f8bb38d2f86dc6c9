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

// slowLeader processes commands one at a time, each for a fixed duration.
type slowLeader struct {
	perCommand time.Duration
	processor  chan struct{} // holds one element while a command runs; guards the fields below
	commands   int
	committed  map[string]bool // endpoint IDs
}

func newSlowLeader(perCommand time.Duration) *slowLeader {
	return &slowLeader{perCommand: perCommand, processor: make(chan struct{}, 1), committed: map[string]bool{}}
}

func (l *slowLeader) commit(ctx context.Context, command *pb.CatalogCommand) error {
	l.processor <- struct{}{}
	defer func() { <-l.processor }()
	l.commands++
	sleep.For(context.Background(), l.perCommand)
	if ctx.Err() != nil {
		return ctx.Err() // committed, but too late for the caller
	}
	for _, e := range command.GetReports().GetEndpoints() {
		l.committed[e.Id] = true
	}
	return nil
}

// All endpoints of a large fleet report within one heartbeat interval as it starts. With
// one command each, the leader would be busy for twelve seconds, no answer would come in
// time, all would report again, and the fleet would never start.
func TestThousandsOfEndpointsRegisterAtOnce(t *testing.T) {
	const (
		members       = 9
		endpoints     = 3000
		heartbeat     = 1200 * time.Millisecond
		answerTimeout = time.Second // how long an endpoint waits for an answer
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		leader := newSlowLeader(4 * time.Millisecond)
		var list []*reportQueue
		var running, answered sync.WaitGroup
		for range members {
			r := newReportQueue(leader.commit)
			list = append(list, r)
			running.Go(func() { _ = r.run(ctx) })
		}
		for n := range endpoints {
			answered.Go(func() {
				time.Sleep(heartbeat * time.Duration(n) / endpoints)
				askCtx, done := context.WithTimeout(ctx, answerTimeout)
				defer done()
				e := &pb.EndpointRecord{Id: fmt.Sprint(n), Service: "s", Address: fmt.Sprint("a:", n), Sequence: 1}
				assert.Check(t, list[n%members].submitEndpoint(askCtx, e))
			})
		}
		answered.Wait()
		assert.Equal(t, len(leader.committed), endpoints)
		maxCommands := members * int(heartbeat/reportInterval+2)
		assert.Assert(t, leader.commands <= maxCommands, "%d commands, want at most %d", leader.commands, maxCommands)
		cancel()
		running.Wait()
	})
}

// A single report must not wait for others.
func TestSingleReportIsCommittedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		leader := newSlowLeader(0)
		r := newReportQueue(leader.commit)
		var running sync.WaitGroup
		running.Go(func() { _ = r.run(ctx) })
		for range 3 {
			began := time.Now()
			assert.NilError(t, r.submitEndpoint(ctx, &pb.EndpointRecord{Id: "e"}))
			assert.Equal(t, time.Since(began), time.Duration(0))
			time.Sleep(2 * reportInterval)
		}
		cancel()
		running.Wait()
	})
}

// While the leader does not answer, no more than one batch may pile up at a member;
// reports beyond that must be refused at once.
func TestWaitingReportsAreBounded(t *testing.T) {
	r := newReportQueue(func(context.Context, *pb.CatalogCommand) error { return nil })
	for n := range maxWaitingReports {
		assert.Assert(t, r.enqueue(&pb.Reports{Endpoints: []*pb.EndpointRecord{{Id: fmt.Sprint(n)}}}) != nil)
	}
	err := r.submitEntry(context.Background(), &pb.EntryRecord{Id: "late"})
	assert.ErrorIs(t, err, ErrUnavailable)
}
