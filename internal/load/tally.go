package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of histograms, in µs and significant digits.
const (
	leastLatency  = 1
	mostLatency   = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
	maxToldNotRun = 200_000
	maxDetails    = 20 // different details kept for each stream
)

// tally counts the answers of one stream. Safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	stream   *Stream
	result   StreamResult
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	notRun   []string // markers of requests that were told not to have run
	inTarget int64    // first tokens within the target
	gapsIn   int64    // gaps within the target
}

func newTally(s *Stream) *tally {
	t := &tally{stream: s, first: newHistogram(), gap: newHistogram(), whole: newHistogram()}
	t.result = StreamResult{Name: s.Name, Team: s.Team, Verdicts: map[Verdict]int{}, Codes: map[string]int{}, Details: map[string]int{}}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
}

// add counts one request.
func (t *tally) add(j *job, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.verdict == VerdictRefused && len(t.notRun) < maxToldNotRun {
		t.notRun = append(t.notRun, j.marker)
	}
	if !j.counted {
		return
	}
	t.result.Offered++
	t.result.Verdicts[a.verdict]++
	t.result.Repeats += a.repeats
	t.result.Tokens += a.tokens
	if a.code != "" {
		t.result.Codes[string(a.code)]++
	}
	t.detail(a)
	if a.verdict == VerdictGood || a.verdict == VerdictLate {
		t.latencies(a)
	}
}

func (t *tally) detail(a answer) {
	if a.detail == "" {
		return
	}
	if _, ok := t.result.Details[a.detail]; ok || len(t.result.Details) < maxDetails {
		t.result.Details[a.detail]++
	}
}

func (t *tally) latencies(a answer) {
	record(t.first, a.firstToken)
	record(t.whole, a.whole)
	if a.firstToken <= t.stream.Targets.FirstToken {
		t.inTarget++
	}
	for _, gap := range a.gaps {
		record(t.gap, gap)
		if gap <= t.stream.Targets.TokenGap {
			t.gapsIn++
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values out of range are clamped, so that RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), leastLatency), mostLatency))
}

func (t *tally) finish(seconds float64) StreamResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.FirstToken, r.TokenGap, r.Whole = latencyOf(t.first), latencyOf(t.gap), latencyOf(t.whole)
	r.FirstInTarget = share(t.inTarget, t.first.TotalCount())
	r.GapInTarget = share(t.gapsIn, t.gap.TotalCount())
	r.OfferedPerSec = float64(r.Offered) / seconds
	r.GoodPerSec = float64(r.Verdicts[VerdictGood]) / seconds
	r.TokensPerSec = float64(r.Tokens) / seconds
	return r
}

func share(part, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}
