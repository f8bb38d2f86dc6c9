package crashboard

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// entryParts is what an entry knows of parts of prompts. It does no I/O and is not safe for
// concurrent use, except for answered.
type entryParts struct {
	// own are the findings by this entry's losses and answers. They alone are left to an entry
	// that has lost contact.
	own *suspect.PartTracker
	// shared are the findings of control instances, which learn of all losses.
	shared   *suspect.PartTracker
	answered *suspect.AnsweredParts
	marks    map[string]*pb.CrashMark // by member
}

func newEntryParts() *entryParts {
	return &entryParts{
		own: suspect.NewPartTracker(suspect.DefaultLimits), shared: suspect.NewPartTracker(suspect.DefaultLimits),
		answered: suspect.NewAnsweredParts(), marks: map[string]*pb.CrashMark{},
	}
}

func (p *entryParts) len() int { return p.own.Len() + p.shared.Len() }

func (p *entryParts) judge(now time.Time, kind suspect.EndpointKind, parts fleet.PromptParts) suspect.PartVerdict {
	return p.own.Judge(now, kind, parts, p.answered).And(p.shared.Judge(now, kind, parts, p.answered))
}

// lossOf returns a loss with what is known of its parts.
func (p *entryParts) lossOf(now time.Time, loss suspect.PartLoss) suspect.PartLoss {
	for n := range loss.Parts {
		key := suspect.PartKey{EndpointKind: loss.EndpointKind, Part: loss.Parts[n].Part}
		loss.Parts[n].Answered = p.answered.Contains(now, key)
	}
	return loss
}

// recordAnswer records an answer, and returns the parts of which control instances should know it.
func (p *entryParts) recordAnswer(now time.Time, kind suspect.EndpointKind, parts fleet.PromptParts) []fleet.PromptPart {
	changed := p.shared.RecordAnswer(now, kind, parts)
	for _, part := range p.own.RecordAnswer(now, kind, parts) {
		if !slices.Contains(changed, part) {
			changed = append(changed, part)
		}
	}
	return changed
}

// mayTry reports whether a request may be sent as the trial of some parts.
func (p *entryParts) mayTry(now time.Time, keys []suspect.PartKey) bool {
	return !slices.ContainsFunc(keys, func(key suspect.PartKey) bool {
		return p.judge(now, key.EndpointKind, fleet.PromptParts{key.Part}).Refused
	})
}

func (p *entryParts) recordTrial(now time.Time, key suspect.PartKey) {
	p.own.RecordTrial(now, key)
	p.shared.RecordTrial(now, key)
}

// merge takes in a finding of a control instance, and reports whether the part is refused only
// since then.
func (p *entryParts) merge(now time.Time, f suspect.PartFinding) (newlyRefused bool) {
	before := p.shared.Find(f.Key)
	p.shared.Merge(now, f)
	if f.AnsweredAt.After(p.own.Find(f.Key).CrashedAt) {
		p.own.RecordAnswer(f.AnsweredAt, f.Key.EndpointKind, []fleet.PromptPart{f.Key.Part})
	}
	return !before.IsRefused() && p.shared.Find(f.Key).IsRefused()
}

// known returns the findings that a control instance which has restarted may have forgotten.
func (p *entryParts) known() []suspect.PartFinding {
	return append(p.shared.SharedSince(0), p.own.SharedSince(0)...)
}

func (p *entryParts) sweep(now time.Time) {
	p.own.Sweep(now)
	p.shared.Sweep(now)
}
