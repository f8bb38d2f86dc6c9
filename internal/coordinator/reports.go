package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

const (
	// reportPace is the least time between two commands of reports from one
	// member. A report that comes alone goes at once; one that follows waits this
	// long at most, a twentieth of what its sender waits for the answer.
	reportPace = 50 * time.Millisecond
	// mostReports bounds the reports that wait at a member: some 150 KB in one
	// command. A member of nine gets 17 in a pace when 3,000 endpoints start within
	// a second; the rest is for a leader that is late.
	mostReports = 1024
)

// reports gathers what endpoints and entries report to one member, and commits
// it in one command at a time.
//
// Failure guarded: thousands of endpoints start with the fleet. With a command
// each, every member has each of them proposed, replicated, applied and told to
// the entries by itself; answers come later than their senders wait, who then
// report anew elsewhere over new connections, and the fleet does not get out of
// it. With one command for all that has come meanwhile, a member's work is
// bounded by the pace, whatever is offered: the later an answer, the more share
// its command.
//
// reports.mu is a leaf.
type reports struct {
	commit func(ctx context.Context, command *pb.CatalogCommand) error
	woken  chan struct{} // holds one when a batch waits

	mu      sync.Mutex // guards waiting
	waiting *reportBatch
}

// reportBatch is what goes with one command.
type reportBatch struct {
	reports *pb.Reports
	done    chan struct{}
	err     error // how the command ended; read after done is closed
}

func newReports(commit func(ctx context.Context, command *pb.CatalogCommand) error) *reports {
	return &reports{commit: commit, woken: make(chan struct{}, 1)}
}

// endpoint commits a heartbeat that changes its endpoint's record.
func (r *reports) endpoint(ctx context.Context, e *pb.EndpointRecord) error {
	return r.add(ctx, &pb.Reports{Endpoints: []*pb.EndpointRecord{e}})
}

// entry commits what an entry says of itself.
func (r *reports) entry(ctx context.Context, e *pb.EntryRecord) error {
	return r.add(ctx, &pb.Reports{Entries: []*pb.EntryRecord{e}})
}

// add has reports go with the next command, and waits for it.
func (r *reports) add(ctx context.Context, reports *pb.Reports) error {
	batch := r.join(reports)
	if batch == nil {
		return trace.Wrap(ErrUnavailable, "%d reports wait", mostReports)
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return trace.Wrap(ErrUnavailable, "%v", ctx.Err())
	}
}

// join adds to the batch that waits; nil when it is full.
func (r *reports) join(reports *pb.Reports) *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = &reportBatch{reports: &pb.Reports{}, done: make(chan struct{})}
	}
	batch := r.waiting
	if len(batch.reports.Endpoints)+len(batch.reports.Entries) >= mostReports {
		return nil
	}
	batch.reports.Endpoints = append(batch.reports.Endpoints, reports.Endpoints...)
	batch.reports.Entries = append(batch.reports.Entries, reports.Entries...)
	select {
	case r.woken <- struct{}{}:
	default:
	}
	return batch
}

// run commits what waits until ctx ends.
func (r *reports) run(ctx context.Context) error {
	for {
		select {
		case <-r.woken:
		case <-ctx.Done():
			return nil
		}
		began := time.Now()
		if batch := r.take(); batch != nil {
			r.send(ctx, batch)
		}
		sleep.For(ctx, reportPace-time.Since(began))
	}
}

func (r *reports) send(ctx context.Context, batch *reportBatch) {
	command := &pb.CatalogCommand{Kind: &pb.CatalogCommand_Reports{Reports: batch.reports}}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout(proto.Size(command)))
	defer cancel()
	batch.err = r.commit(ctx, command)
	close(batch.done)
}

// take gives the batch that waits, nil for none.
func (r *reports) take() *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.waiting
	r.waiting = nil
	return batch
}
