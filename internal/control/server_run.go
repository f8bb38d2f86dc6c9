package control

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Run expires instances whose lease has ended while this member leads, until ctx
// ends.
func (s *Server) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(s.instanceLease() / ticksPerLease)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		s.leaderTick(ctx)
	}
}

func (s *Server) leaderTick(ctx context.Context) {
	term, leading := s.leadership()
	if !leading {
		s.leadingTerm = 0
		return
	}
	if term != s.leadingTerm {
		s.leadingTerm = term
		s.part.Info("Leading.", "term", term)
		s.recordEvent(timeline.Event{Kind: timeline.KindLeader, Detail: fmt.Sprintf("%s term %d", s.self.ID, term)})
	}
	s.proposeRecordExpiry(ctx)
	ended := s.leases.tick(s.now(), term, s.instanceLease(), s.machine.Owners())
	for _, o := range ended {
		select {
		case s.expirySlots <- struct{}{}:
		default:
			return // the next tick continues
		}
		go func() {
			defer func() { <-s.expirySlots }()
			s.expireInstance(ctx, o)
		}()
	}
}

// proposeRecordExpiry proposes an empty command when records have expired. Every
// command removes expired records; without any command a team's calls would
// still be delayed by the record of a zone change long ago.
func (s *Server) proposeRecordExpiry(ctx context.Context) {
	if !s.machine.HasExpiredRecords(s.now().UnixMilli()) || !s.recordExpiry.TryLock() {
		return
	}
	go func() {
		defer s.recordExpiry.Unlock()
		if _, _, err := s.propose(ctx, &pb.Command{}); err != nil {
			s.part.Debug("Proposal to remove expired records failed; retrying at a later tick.", "err", err)
		}
	}()
}

// leadership reports whether this member leads, and in which term. When it does
// not lead, it clears all lease times.
func (s *Server) leadership() (term uint64, leading bool) {
	status := s.group.Status()
	if !status.IsLeader {
		s.leases.stepDown()
		return 0, false
	}
	return status.Term, true
}

func (s *Server) expireInstance(ctx context.Context, o fleet.Owner) {
	if !s.leases.beginExpiry(o, s.now()) {
		return
	}
	defer s.leases.expiryProposalDone(o)
	_, _, err := s.propose(ctx, expireCommand(o, "lease"))
	if err != nil {
		s.part.Warn("Proposal to expire an instance failed; retrying at a later tick.", "instance", o, "err", err)
		return
	}
	s.metrics.expiries.Inc()
	s.part.Info("Instance expired.", "instance", o)
	s.recordEvent(timeline.Event{Kind: timeline.KindLeaseLost, Detail: o.String()})
}

func expireCommand(o fleet.Owner, reason string) *pb.Command {
	return &pb.Command{Body: &pb.Command_ExpireInstance{ExpireInstance: &pb.ExpireInstance{
		Id:          string(o.Instance),
		Incarnation: uint64(o.Incarnation),
		Reason:      reason,
	}}}
}
