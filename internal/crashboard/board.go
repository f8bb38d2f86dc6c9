package crashboard

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Board holds the findings of one control instance. It is safe for concurrent use.
type Board struct {
	epoch   uint64
	metrics *boardMetrics

	mu      sync.Mutex // guards the fields below
	losses  *suspect.LossTracker
	parts   *suspect.PartTracker
	changed chan struct{} // closed and replaced when there are new findings to share
}

var _ pb.DRPCCrashBoardServer = (*Board)(nil)

// NewBoard returns an empty board. epoch must differ from that of any other process, also of an
// earlier one of this instance; to may be nil.
func NewBoard(epoch uint64, to prometheus.Registerer) *Board {
	return &Board{
		epoch: epoch, metrics: newBoardMetrics(to),
		losses: suspect.NewLossTracker(suspect.DefaultLimits), parts: suspect.NewPartTracker(suspect.DefaultLimits), changed: make(chan struct{}),
	}
}

// ReportCrashes implements pb.DRPCCrashBoardServer.
func (b *Board) ReportCrashes(_ context.Context, r *pb.ReportCrashesRequest) (*pb.ReportCrashesReply, error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	before, partsBefore := b.losses.Revision(), b.parts.Revision()
	for _, wire := range r.Losses {
		if loss, ok := lossFromWire(now, wire); ok {
			b.losses.RecordLoss(now, loss)
		}
	}
	for _, wire := range r.Answered {
		if f, ok := fleet.FingerprintFromBytes(wire); ok {
			b.losses.RecordAnswer(now, f)
		}
	}
	for _, wire := range r.Known {
		if f, ok := findingFromWire(now, wire); ok {
			b.losses.Merge(now, f)
		}
	}
	b.applyParts(now, r)
	b.metrics.recordReport(len(r.Losses), b.losses.Len(), b.parts.Len())
	if len(b.losses.SharedSince(before))+len(b.parts.SharedSince(partsBefore)) > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
	return &pb.ReportCrashesReply{}, nil
}

// applyParts applies what a report tells of parts of prompts. The caller holds b.mu.
func (b *Board) applyParts(now time.Time, r *pb.ReportCrashesRequest) {
	for _, wire := range r.KnownParts {
		if f, ok := partFindingFromWire(now, wire); ok {
			b.parts.Merge(now, f)
		}
	}
	for _, wire := range r.PartsTried {
		kind, parts := partsFromWire(wire)
		for _, part := range parts {
			b.parts.RecordTrial(now, suspect.PartKey{EndpointKind: kind, Part: part})
		}
	}
	for _, wire := range r.PartsLosses {
		b.parts.RecordLoss(now, partsLossFromWire(now, wire))
	}
	for _, wire := range r.PartsAnswered {
		kind, parts := partsFromWire(wire)
		b.parts.RecordAnswer(now, kind, parts)
	}
}

// ChangesSince returns the findings on requests that have changed after a mark, and a channel that is closed
// at the next change. A nil mark, or one of another epoch, returns all of them.
func (b *Board) ChangesSince(mark *pb.CrashMark) (*pb.CrashNews, <-chan struct{}) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.revisionOf(mark)
	news := &pb.CrashNews{Mark: &pb.CrashMark{Epoch: b.epoch, Revision: b.losses.Revision()}}
	if after < b.losses.Revision() {
		news.Findings = findingsToWire(now, b.losses.SharedSince(after))
	}
	return news, b.changed
}

// revisionOf returns the revision up to which a mark's owner has read; 0 if it has read nothing of
// this board since it started.
func (b *Board) revisionOf(mark *pb.CrashMark) uint64 {
	if mark.GetEpoch() != b.epoch {
		return 0
	}
	return mark.Revision
}

// maxFollowWait limits the wait of FollowParts.
const maxFollowWait = 30 * time.Second

// FollowParts implements pb.DRPCCrashBoardServer.
func (b *Board) FollowParts(ctx context.Context, r *pb.FollowPartsRequest) (*pb.PartNews, error) {
	timer := time.NewTimer(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxFollowWait))
	defer timer.Stop()
	for {
		more := b.changeSignal()
		news := b.PartChangesSince(r.GetMark())
		if len(news.Findings) > 0 || news.Mark.Epoch != r.GetMark().GetEpoch() {
			return news, nil
		}
		select {
		case <-more:
		case <-timer.C:
			return news, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// changeSignal returns a channel that is closed at the next change.
func (b *Board) changeSignal() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// PartChangesSince returns the findings on parts of prompts that have changed after a mark. A nil
// mark, or one of another epoch, returns all of them.
func (b *Board) PartChangesSince(mark *pb.CrashMark) *pb.PartNews {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.revisionOf(mark)
	news := &pb.PartNews{Mark: &pb.CrashMark{Epoch: b.epoch, Revision: b.parts.Revision()}}
	if after < b.parts.Revision() {
		news.Findings = partFindingsToWire(now, b.parts.SharedSince(after))
	}
	return news
}
