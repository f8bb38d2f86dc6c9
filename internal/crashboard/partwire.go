package crashboard

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

func partsToWire(kind suspect.EndpointKind, parts []fleet.PromptPart) *pb.PartsAtEndpoints {
	wire := &pb.PartsAtEndpoints{Service: kind.Service, Stage: kind.Stage, Software: kind.Software}
	for _, part := range parts {
		wire.Parts = append(wire.Parts, string(part))
	}
	return wire
}

func partsFromWire(wire *pb.PartsAtEndpoints) (kind suspect.EndpointKind, parts []fleet.PromptPart) {
	for _, part := range wire.GetParts() {
		parts = append(parts, fleet.PromptPart(part))
	}
	return suspect.EndpointKind{Service: wire.GetService(), Stage: wire.GetStage(), Software: wire.GetSoftware()}, parts
}

func partsLossToWire(now time.Time, l suspect.PartLoss) *pb.PartsLoss {
	wire := &pb.PartsLoss{SentUs: ageOf(now, l.Sent), EndedUs: ageOf(now, l.Ended), NoticedUs: ageOf(now, l.Noticed), Endpoint: l.Endpoint}
	parts := make([]fleet.PromptPart, len(l.Parts))
	for n, lost := range l.Parts {
		parts[n] = lost.Part
		if lost.Answered {
			wire.Answered = append(wire.Answered, uint32(n))
		}
	}
	wire.At = partsToWire(l.EndpointKind, parts)
	return wire
}

func partsLossFromWire(now time.Time, wire *pb.PartsLoss) suspect.PartLoss {
	kind, parts := partsFromWire(wire.GetAt())
	loss := suspect.PartLoss{
		EndpointKind: kind, Endpoint: wire.GetEndpoint(),
		Sent: timeBefore(now, wire.GetSentUs()), Ended: timeBefore(now, wire.GetEndedUs()), Noticed: timeBefore(now, wire.GetNoticedUs()),
	}
	for _, part := range parts {
		loss.Parts = append(loss.Parts, suspect.LostPart{Part: part})
	}
	for _, n := range wire.GetAnswered() {
		if int(n) < len(loss.Parts) {
			loss.Parts[n].Answered = true
		}
	}
	return loss
}

func partFindingsToWire(now time.Time, list []suspect.PartFinding) []*pb.PartFinding {
	wire := make([]*pb.PartFinding, 0, len(list))
	for _, f := range list {
		wire = append(wire, &pb.PartFinding{
			At: partsToWire(f.Key.EndpointKind, []fleet.PromptPart{f.Key.Part}), Crashes: uint32(f.Crashes), Answered: f.Answered,
			CrashedAgeUs: optionalAgeOf(now, f.CrashedAt), AnsweredAgeUs: optionalAgeOf(now, f.AnsweredAt),
			RefusedAgeUs: optionalAgeOf(now, f.RefusedAt), TriedAgeUs: optionalAgeOf(now, f.TriedAt), FailedTrials: uint32(f.FailedTrials),
		})
	}
	return wire
}

// maxFailedTrials limits the failed trials that a peer reports: the pause between trials no
// longer grows then.
const maxFailedTrials = 64

func partFindingFromWire(now time.Time, wire *pb.PartFinding) (f suspect.PartFinding, ok bool) {
	kind, parts := partsFromWire(wire.GetAt())
	if len(parts) != 1 {
		return suspect.PartFinding{}, false
	}
	return suspect.PartFinding{
		Key: suspect.PartKey{EndpointKind: kind, Part: parts[0]}, Crashes: int(wire.Crashes), Answered: wire.Answered,
		CrashedAt: optionalTimeBefore(now, wire.CrashedAgeUs), AnsweredAt: optionalTimeBefore(now, wire.AnsweredAgeUs),
		RefusedAt: optionalTimeBefore(now, wire.RefusedAgeUs), TriedAt: optionalTimeBefore(now, wire.TriedAgeUs),
		FailedTrials: int(min(wire.FailedTrials, maxFailedTrials)),
	}, true
}

// optionalAgeOf is ageOf for a time that may be unset, which has the age 0.
func optionalAgeOf(now, at time.Time) uint64 {
	if at.IsZero() {
		return 0
	}
	return ageOf(now, at) + 1
}

func optionalTimeBefore(now time.Time, us uint64) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return timeBefore(now, us-1)
}
