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
	// reportInterval is the minimum time between two commands with reports of one member.
	// A single report is committed at once; one that follows waits this long at most, a
	// twentieth of how long its sender waits for the answer.
	reportInterval = 50 * time.Millisecond
	// maxWaitingReports bounds the reports that wait at a member: some 150 KB in one
	// command. A member of nine gets 17 per interval when 3,000 endpoints start within a
	// second; the remainder allows for a slow leader.
	maxWaitingReports = 1024
)

// reportQueue collects the reports of endpoints and entries at one member and commits
// them in batches, one command at a time.
//
// This guards against the load when thousands of endpoints start with the fleet. With one
// command each, every member has to propose, replicate, apply and pass on each of them;
// answers come later than the senders wait, who then report again to other members over
// new connections, and the fleet does not recover. With one command for all reports that
// arrived meanwhile, a member's work is bounded by the interval: the slower the answers,
// the more reports share a command.
//
// reportQueue.mu is a leaf.
type reportQueue struct {
	commit func(ctx context.Context, command *pb.CatalogCommand) error
	wake   chan struct{} // has one element when a batch waits

	mu    sync.Mutex // guards batch
	batch *reportBatch
}

// reportBatch is the content of one command.
type reportBatch struct {
	reports *pb.Reports
	done    chan struct{}
	err     error // result of the command; read after done is closed
}

func newReportQueue(commit func(ctx context.Context, command *pb.CatalogCommand) error) *reportQueue {
	return &reportQueue{commit: commit, wake: make(chan struct{}, 1)}
}

// submitEndpoint commits a heartbeat that changes its endpoint's record.
func (r *reportQueue) submitEndpoint(ctx context.Context, e *pb.EndpointRecord) error {
	return r.submit(ctx, &pb.Reports{Endpoints: []*pb.EndpointRecord{e}})
}

// submitEntry commits an entry's report about itself.
func (r *reportQueue) submitEntry(ctx context.Context, e *pb.EntryRecord) error {
	return r.submit(ctx, &pb.Reports{Entries: []*pb.EntryRecord{e}})
}

// submit adds reports to the waiting batch and waits until it is committed.
func (r *reportQueue) submit(ctx context.Context, reports *pb.Reports) error {
	batch := r.enqueue(reports)
	if batch == nil {
		return trace.Wrap(ErrUnavailable, "%d reports wait", maxWaitingReports)
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return trace.Wrap(ErrUnavailable, "%v", ctx.Err())
	}
}

// enqueue adds reports to the waiting batch and returns it, or nil if it is full.
func (r *reportQueue) enqueue(reports *pb.Reports) *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batch == nil {
		r.batch = &reportBatch{reports: &pb.Reports{}, done: make(chan struct{})}
	}
	batch := r.batch
	if len(batch.reports.Endpoints)+len(batch.reports.Entries) >= maxWaitingReports {
		return nil
	}
	batch.reports.Endpoints = append(batch.reports.Endpoints, reports.Endpoints...)
	batch.reports.Entries = append(batch.reports.Entries, reports.Entries...)
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return batch
}

// run commits waiting batches until ctx ends.
func (r *reportQueue) run(ctx context.Context) error {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return nil
		}
		began := time.Now()
		if batch := r.takeBatch(); batch != nil {
			r.commitBatch(ctx, batch)
		}
		sleep.For(ctx, reportInterval-time.Since(began))
	}
}

func (r *reportQueue) commitBatch(ctx context.Context, batch *reportBatch) {
	command := &pb.CatalogCommand{Kind: &pb.CatalogCommand_Reports{Reports: batch.reports}}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout(proto.Size(command)))
	defer cancel()
	batch.err = r.commit(ctx, command)
	close(batch.done)
}

// takeBatch removes and returns the waiting batch, or nil if there is none.
func (r *reportQueue) takeBatch() *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.batch
	r.batch = nil
	return batch
}
