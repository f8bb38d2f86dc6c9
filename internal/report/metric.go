package report

import "github.com/hyssopsail/hyssopsail/internal/load"

// metric is one figure of a result.
type metric struct {
	name  string
	unit  string
	value func(load.Result) (v float64, ok bool)
}

const percent = 100

// metrics are the rows of the tables.
var metrics = []metric{
	{"offered", "% of capacity", share(func(r load.Result) float64 { return r.OfferedShare })},
	{"good", "% of capacity", share(func(r load.Result) float64 { return r.GoodShare })},
	{"good of the possible", "%", share(func(r load.Result) float64 { return r.GoodOfPossible })},
	{"good", "requests/s", func(r load.Result) (float64, bool) { return goodPerSec(r), true }},
	{"first token p50", "ms", worst(func(s load.StreamResult) float64 { return s.FirstToken.P50 })},
	{"first token p95", "ms", worst(func(s load.StreamResult) float64 { return s.FirstToken.P95 })},
	{"first token p99", "ms", worst(func(s load.StreamResult) float64 { return s.FirstToken.P99 })},
	{"first tokens in target", "%", least(func(s load.StreamResult) float64 { return percent * s.FirstInTarget })},
	{"token gap p50", "ms", worst(func(s load.StreamResult) float64 { return s.TokenGap.P50 })},
	{"token gap p95", "ms", worst(func(s load.StreamResult) float64 { return s.TokenGap.P95 })},
	{"token gaps in target", "%", least(func(s load.StreamResult) float64 { return percent * s.GapInTarget })},
	{"wasted prefill", "% of prefill", func(r load.Result) (float64, bool) { return wasted(r) }},
	{"refused", "requests", verdict(load.VerdictRefused)},
	{"late", "requests", verdict(load.VerdictLate)},
	{"failed", "requests", verdict(load.VerdictFailed)},
	{"cut", "requests", verdict(load.VerdictCut)},
	{"abandoned", "requests", verdict(load.VerdictAbandoned)},
	{"unknown", "requests", verdict(load.VerdictUnknown)},
	{"lost", "requests", verdict(load.VerdictLost)},
	{"wrong answers", "requests", verdict(load.VerdictWrong)},
	{"doubled", "requests", audited(func(a load.AuditResult) float64 { return float64(a.Doubled) })},
	{"ran but told not-run", "requests", audited(func(a load.AuditResult) float64 { return float64(a.NotRunButRan) })},
	{"held after the end", "requests", audited(func(a load.AuditResult) float64 { return float64(a.StillHeld) })},
}

func share(of func(load.Result) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) { return percent * of(r), r.OfferedShare > 0 }
}

// worst gives the largest of a figure over the streams that have it.
func worst(of func(load.StreamResult) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) {
		most, found := 0.0, false
		for _, s := range r.Streams {
			if v := of(s); v > most {
				most, found = v, true
			}
		}
		return most, found
	}
}

func least(of func(load.StreamResult) float64) func(load.Result) (float64, bool) {
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

func verdict(v load.Verdict) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) { return float64(r.Total()[v]), true }
}

func audited(of func(load.AuditResult) float64) func(load.Result) (float64, bool) {
	return func(r load.Result) (float64, bool) {
		if r.Audit == nil {
			return 0, false
		}
		return of(*r.Audit), true
	}
}

func wasted(r load.Result) (float64, bool) {
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
