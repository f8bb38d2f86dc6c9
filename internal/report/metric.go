package report

import "github.com/hyssopsail/hyssopsail/internal/load"

// metric is one figure of a result.
type metric struct {
	name  string
	unit  string
	value func(load.Result) (v float64, ok bool)
}

const percent = 100

// metrics lists the rows of the tables.
var metrics = []metric{
	{"offered", "% of capacity", share(func(r load.Result) float64 { return r.OfferedShare })},
	{"good", "% of capacity", share(func(r load.Result) float64 { return r.GoodShare })},
	{"good of the possible", "%", share(func(r load.Result) float64 { return r.GoodOfPossible })},
	{"good", "requests/s", func(r load.Result) (float64, bool) { return goodPerSec(r), true }},
	{"first token p50", "ms", maxOverStreams(func(s load.StreamResult) float64 { return s.FirstToken.P50 })},
	{"first token p95", "ms", maxOverStreams(func(s load.StreamResult) float64 { return s.FirstToken.P95 })},
	{"first token p99", "ms", maxOverStreams(func(s load.StreamResult) float64 { return s.FirstToken.P99 })},
	{"first tokens in target", "%", minOverStreams(func(s load.StreamResult) float64 { return percent * s.FirstInTarget })},
	{"token gap p50", "ms", maxOverStreams(func(s load.StreamResult) float64 { return s.TokenGap.P50 })},
	{"token gap p95", "ms", maxOverStreams(func(s load.StreamResult) float64 { return s.TokenGap.P95 })},
	{"token gaps in target", "%", minOverStreams(func(s load.StreamResult) float64 { return percent * s.GapInTarget })},
	{"wasted prefill", "% of prefill", func(r load.Result) (float64, bool) { return wastedPrefill(r) }},
	{"refused", "requests", verdictCount(load.VerdictRefused)},
	{"late", "requests", verdictCount(load.VerdictLate)},
	{"failed", "requests", verdictCount(load.VerdictFailed)},
	{"cut", "requests", verdictCount(load.VerdictCut)},
	{"abandoned", "requests", verdictCount(load.VerdictAbandoned)},
	{"unknown", "requests", verdictCount(load.VerdictUnknown)},
	{"lost", "requests", verdictCount(load.VerdictLost)},
	{"wrong answers", "requests", verdictCount(load.VerdictWrong)},
	{"doubled", "requests", auditCount(func(a load.AuditResult) float64 { return float64(a.Doubled) })},
	{"ran but told not-run", "requests", auditCount(func(a load.AuditResult) float64 { return float64(a.NotRunButRan) })},
	{"held after the end", "requests", auditCount(func(a load.AuditResult) float64 { return float64(a.StillHeld) })},
}

func share(of func(load.Result) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) { return percent * of(r), r.OfferedShare > 0 }
}

// maxOverStreams returns the largest value of a figure over the streams that have it.
func maxOverStreams(of func(load.StreamResult) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) {
		largest, found := 0.0, false
		for _, s := range r.Streams {
			if v := of(s); v > largest {
				largest, found = v, true
			}
		}
		return largest, found
	}
}

func minOverStreams(of func(load.StreamResult) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) {
		smallest, found := 0.0, false
		for _, s := range r.Streams {
			if s.TokenGap.Count == 0 {
				continue
			}
			if v := of(s); !found || v < smallest {
				smallest, found = v, true
			}
		}
		return smallest, found
	}
}

func verdictCount(v load.Verdict) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) { return float64(r.Total()[v]), true }
}

func auditCount(of func(load.AuditResult) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) {
		if r.Audit == nil {
			return 0, false
		}
		return of(*r.Audit), true
	}
}

func wastedPrefill(r load.Result) (float64, bool) {
	if r.Audit == nil {
		return 0, false
	}
	return percent * r.Audit.WastedShare, true
}

func goodPerSec(r load.Result) float64 {
	sum := 0.0
	for _, s := range r.Streams {
		sum += s.GoodPerSec
	}
	return sum
}
