package suspect

import (
	"slices"
	"time"
)

// crashCounter is a finding with the crashes that count in it.
type crashCounter struct {
	PartFinding
	counted []countedCrash // the latest, maxCrashesAnswered at most
}

// countedCrash is a crash of an endpoint.
type countedCrash struct {
	endpoint string
	noticed  time.Time // by when its process had ended
}

// countCrash counts a crash, and reports whether it did. Several losses can be those of one crash:
//
//   - A part that many prompts share runs on many endpoints. When several crash at once it would be
//     held against it several times, so a run that began before the previous crash doesn't count.
//   - A response that was lost shortly before the crash of its endpoint can't be told from one that
//     the crash cut off, so a run that began before the crash was noticed doesn't count again.
func (c *crashCounter) countCrash(loss PartLoss) bool {
	if !loss.Ended.After(c.AnsweredAt) || c.Crashes > 0 && loss.Sent.Before(c.CrashedAt) || c.hasCounted(loss) {
		return false
	}
	c.Crashes++
	c.CrashedAt = loss.Ended
	if loss.Endpoint != "" {
		c.counted = append(c.counted[max(0, len(c.counted)+1-maxCrashesAnswered):], countedCrash{endpoint: loss.Endpoint, noticed: loss.Noticed})
	}
	return true
}

func (c *crashCounter) hasCounted(loss PartLoss) bool {
	return slices.ContainsFunc(c.counted, func(crash countedCrash) bool {
		return crash.endpoint == loss.Endpoint && loss.Sent.Before(crash.noticed)
	})
}

// clear records an answer.
func (c *crashCounter) clear(at time.Time) {
	c.PartFinding.clear(at)
	c.counted = nil
}
