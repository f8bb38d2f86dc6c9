package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

func TestPaceAgainstTargets(t *testing.T) {
	targets := settings.Targets{FirstToken: time.Second, TokenGap: 40 * time.Millisecond}
	cases := map[string]struct {
		pace    pace
		targets settings.Targets
		want    targetsMet
	}{
		"both, just":       {pace{time.Second, 400 * time.Millisecond, 10}, targets, metBoth},
		"late first token": {pace{time.Second + 1, 400 * time.Millisecond, 10}, targets, metTokenGap},
		"slow tokens":      {pace{time.Second, 400*time.Millisecond + 1, 10}, targets, metFirstToken},
		"neither":          {pace{time.Minute, time.Minute, 10}, targets, metNone},
		"one chunk":        {pace{time.Second, 0, 0}, targets, metBoth},
		"no targets":       {pace{time.Minute, time.Minute, 10}, settings.Targets{}, metBoth},
	}
	for name, tc := range cases {
		assert.Equal(t, tc.pace.judge(tc.targets), tc.want, name)
	}
}
