package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of histograms in µs, their precision in significant digits, and limits of
// what a tally keeps.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	latencyDigits    = 3
	maxNotRunMarkers = 200_000
	maxDetails       = 20 // distinct details kept for each stream
)

// tally counts the results of one stream. It is safe for concurrent use.
type tally struct {
	mu                  sync.Mutex
	stream              *Stream
	result              StreamResult
	first               *hdrhistogram.Histogram
	gap                 *hdrhistogram.Histogram
	total               *hdrhistogram.Histogram
	notRun              []string // markers of requests that the system reported as not run
	firstTokensInTarget int64
	gapsInTarget        int64
}

func newTally(s *Stream) *tally {
	t := &tally{stream: s, first: newHistogram(), gap: newHistogram(), total: newHistogram()}
	t.result = StreamResult{Name: s.Name, Team: s.Team, Verdicts: map[Verdict]int{}, Codes: map[string]int{}, Details: map[string]int{}}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// add counts the result of one request.
func (t *tally) add(j *job, a requestResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.verdict == VerdictRefused && len(t.notRun) < maxNotRunMarkers {
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
	t.addDetail(a)
	if a.verdict == VerdictGood || a.verdict == VerdictLate {
		t.addLatencies(a)
	}
}

func (t *tally) addDetail(a requestResult) {
	if a.detail == "" {
		return
	}
	if _, ok := t.result.Details[a.detail]; ok || len(t.result.Details) < maxDetails {
		t.result.Details[a.detail]++
	}
}

func (t *tally) addLatencies(a requestResult) {
	record(t.first, a.firstTokenLatency)
	record(t.total, a.totalLatency)
	if a.firstTokenLatency <= t.stream.Targets.FirstToken {
		t.firstTokensInTarget++
	}
	for _, gap := range a.gaps {
		record(t.gap, gap)
		if gap <= t.stream.Targets.TokenGap {
			t.gapsInTarget++
		}
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values out of range are clamped, so that RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

func (t *tally) finish(seconds float64) StreamResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.result
	r.FirstToken, r.TokenGap, r.Whole = latencyOf(t.first), latencyOf(t.gap), latencyOf(t.total)
	r.FirstInTarget = ratio(t.firstTokensInTarget, t.first.TotalCount())
	r.GapInTarget = ratio(t.gapsInTarget, t.gap.TotalCount())
	r.OfferedPerSec = float64(r.Offered) / seconds
	r.GoodPerSec = float64(r.Verdicts[VerdictGood]) / seconds
	r.TokensPerSec = float64(r.Tokens) / seconds
	return r
}

func ratio(part, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}
