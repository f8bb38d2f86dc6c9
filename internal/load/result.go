package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. Only requests whose intended time is
// after the warm-up are counted.
type Result struct {
	Experiment     string         `json:"experiment"`
	Variant        string         `json:"variant"`
	Pair           int            `json:"pair"`
	Started        time.Time      `json:"started"`
	Seconds        float64        `json:"seconds"` // of counted arrivals
	OfferedShare   float64        `json:"offered_share"`
	GoodShare      float64        `json:"good_share"`       // good work as a share of capacity
	GoodOfPossible float64        `json:"good_of_possible"` // GoodShare divided by min(OfferedShare, 1)
	Streams        []StreamResult `json:"streams"`
	Audit          *AuditResult   `json:"audit,omitempty"`
	Generator      Generator      `json:"generator"`
}

// StreamResult holds the measurements of one stream. Latencies are those of complete
// and correct answers, from the request's intended time.
type StreamResult struct {
	Name          string          `json:"name"`
	Team          string          `json:"team"`
	Offered       int             `json:"offered"`
	Verdicts      map[Verdict]int `json:"verdicts"`
	Codes         map[string]int  `json:"codes"`
	Details       map[string]int  `json:"details"`
	Repeats       int             `json:"repeats"`
	Tokens        int             `json:"tokens"`
	OfferedPerSec float64         `json:"offered_per_sec"`
	GoodPerSec    float64         `json:"good_per_sec"`
	TokensPerSec  float64         `json:"tokens_per_sec"`
	FirstToken    Latency         `json:"first_token"`
	TokenGap      Latency         `json:"token_gap"` // between events with tokens
	Whole         Latency         `json:"whole"`
	FirstInTarget float64         `json:"first_in_target"` // share
	GapInTarget   float64         `json:"gap_in_target"`   // share
}

// Latency is a latency distribution, in ms.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
	Curve []Point `json:"curve,omitempty"`
}

// Point is one point of a cumulative distribution.
type Point struct {
	Ms    float64 `json:"ms"`
	Share float64 `json:"share"`
}

// Generator reports whether the generator itself kept up with the load.
type Generator struct {
	LateP99Ms  float64 `json:"late_p99_ms"` // delay of sending after the intended time
	LateMaxMs  float64 `json:"late_max_ms"`
	Unfinished int     `json:"unfinished"` // cancelled at the end of the drain time
	CPUSeconds float64 `json:"cpu_seconds"`
}

const usPerMs = 1000

// curvePercentiles lists the percentiles that a curve contains.
var curvePercentiles = func() []float64 {
	var out []float64
	for n := 1; n < 100; n++ {
		out = append(out, float64(n))
	}
	return append(out, 99.5, 99.9, 99.95, 99.99, 100)
}()

func latencyOf(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / usPerMs }
	l := Latency{
		Count: h.TotalCount(), Mean: h.Mean() / usPerMs, Max: float64(h.Max()) / usPerMs,
		P50: at(50), P90: at(90), P95: at(95), P99: at(99), P999: at(99.9),
	}
	for _, q := range curvePercentiles {
		l.Curve = append(l.Curve, Point{Ms: at(q), Share: q / 100})
	}
	return l
}

// Total returns the sum of the verdicts of all streams.
func (r Result) Total() map[Verdict]int {
	total := map[Verdict]int{}
	for _, s := range r.Streams {
		for v, n := range s.Verdicts {
			total[v] += n
		}
	}
	return total
}
