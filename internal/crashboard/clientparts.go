package crashboard

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// HasPartFindings reports whether there is any finding on a part of prompts.
func (c *Client) HasPartFindings() bool { return c.partCount.Load() > 0 }

// JudgeParts returns what is known of the parts of a prompt at a kind of endpoint.
func (c *Client) JudgeParts(kind suspect.EndpointKind, parts fleet.PromptParts) suspect.PartVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.judge(time.Now(), kind, parts)
}

// RecordPartsLoss records a run that this entry lost since its endpoint crashed, and reports it to
// the control instances.
func (c *Client) RecordPartsLoss(loss suspect.PartLoss) {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	loss = c.parts.lossOf(now, loss)
	if refused, ok := c.parts.own.RecordLoss(now, loss); ok {
		c.recordRefusedPart(refused)
	}
	c.enqueueForAll(members, func(r *pb.ReportCrashesRequest) { r.PartsLosses = append(r.PartsLosses, partsLossToWire(now, loss)) })
	c.updateKnownCount()
}

// RecordPartsAnswer records that an endpoint has answered a request with some parts. What this
// changes in the findings is reported to the control instances.
func (c *Client) RecordPartsAnswer(kind suspect.EndpointKind, parts fleet.PromptParts) {
	now := time.Now()
	c.parts.answered.Record(now, kind, parts)
	if !c.HasPartFindings() {
		return
	}
	members := c.options.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	if changed := c.parts.recordAnswer(now, kind, parts); len(changed) > 0 {
		c.enqueueForAll(members, func(r *pb.ReportCrashesRequest) {
			r.PartsAnswered = append(r.PartsAnswered, partsToWire(kind, changed))
		})
	}
}

// BeginPartTrials records that one request with some parts is sent although others are refused, and
// tells the control instances. It returns false if one of the parts may not be tried now.
func (c *Client) BeginPartTrials(keys []suspect.PartKey) bool {
	members, now := c.options.Members(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.parts.mayTry(now, keys) {
		return false
	}
	for _, key := range keys {
		c.beginPartTrial(now, members, key)
	}
	c.updateKnownCount()
	return true
}

// beginPartTrial records a trial of one part. The caller holds c.mu.
func (c *Client) beginPartTrial(now time.Time, members []string, key suspect.PartKey) {
	c.parts.recordTrial(now, key)
	c.options.Part.Warn("A request with a refused part is sent as a trial.", partKeyvals(key)...)
	c.metrics.partTrials.Inc()
	c.enqueueForAll(members, func(r *pb.ReportCrashesRequest) {
		r.PartsTried = append(r.PartsTried, partsToWire(key.EndpointKind, []fleet.PromptPart{key.Part}))
	})
}

// PartMark returns the mark up to which the findings of a member on parts were read, to be sent
// with the next poll of it; nil if none were read.
func (c *Client) PartMark(member string) *pb.CrashMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parts.marks[member]
}

// ApplyPartChanges records the findings of a member on parts. If the member has restarted, the
// findings that it may lack are reported to it.
func (c *Client) ApplyPartChanges(member string, news *pb.PartNews) {
	if news.GetMark() == nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := c.parts.marks[member].GetEpoch() != news.Mark.Epoch
	c.parts.marks[member] = news.Mark
	known := c.parts.known()
	for _, wire := range news.Findings {
		if f, ok := partFindingFromWire(now, wire); ok && c.parts.merge(now, f) {
			c.recordRefusedPart(c.parts.shared.Find(f.Key))
		}
	}
	if restarted && len(known) > 0 {
		c.enqueue(member, func(r *pb.ReportCrashesRequest) { r.KnownParts = partFindingsToWire(now, known) })
	}
	c.updateKnownCount()
}

// recordRefusedPart counts and logs a part that is refused here from now on. The caller holds c.mu.
func (c *Client) recordRefusedPart(f suspect.PartFinding) {
	c.metrics.refusedParts.Inc()
	c.options.Part.Warn("A part of prompts crashes endpoints and is refused from now on.",
		append(partKeyvals(f.Key), "crashes", f.Crashes, "answered_before", f.Answered, "failed_trials", f.FailedTrials)...)
}

// partKeyvals names a part and the endpoints that it crashes, for a log line.
func partKeyvals(key suspect.PartKey) []any {
	return []any{"crashing_part", key.Part, "service", key.Service, "stage", key.Stage, "software", key.Software}
}
