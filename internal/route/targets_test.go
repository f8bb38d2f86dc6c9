package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func TestAnswerTimingAgainstTargets(t *testing.T) {
	targets := settings.Targets{FirstToken: time.Second, TokenGap: 40 * time.Millisecond}
	cases := map[string]struct {
		pace    answerTiming
		targets settings.Targets
		want    targetsMet
	}{
		"both, just":       {answerTiming{time.Second, 400 * time.Millisecond, 10}, targets, metBoth},
		"late first token": {answerTiming{time.Second + 1, 400 * time.Millisecond, 10}, targets, metTokenGap},
		"slow tokens":      {answerTiming{time.Second, 400*time.Millisecond + 1, 10}, targets, metFirstToken},
		"neither":          {answerTiming{time.Minute, time.Minute, 10}, targets, metNone},
		"one chunk":        {answerTiming{time.Second, 0, 0}, targets, metBoth},
		"no targets":       {answerTiming{time.Minute, time.Minute, 10}, settings.Targets{}, metBoth},
	}
	for name, tc := range cases {
		assert.Equal(t, tc.pace.compare(tc.targets), tc.want, name)
	}
}
