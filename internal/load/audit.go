package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	auditTimeout  = 20 * time.Second
	maxAuditBytes = 1 << 30
)

// AuditResult is what the emulated endpoints report about the run's requests. The
// work of a process that ended is missing, except if the crash fault ended it: it
// then leaves its audit in a file.
type AuditResult struct {
	Endpoints       int      `json:"endpoints"` // that answered
	PrefillMs       float64  `json:"prefill_ms"`
	WastedPrefillMs float64  `json:"wasted_prefill_ms"` // of attempts whose decode never began
	WastedShare     float64  `json:"wasted_share"`
	DiscardedMs     float64  `json:"discarded_ms"` // discarded before it left the prefill engine, as the endpoints count it
	Doubled         int      `json:"doubled"`      // non-idempotent calls that ran twice, and answers decoded completely twice
	NotRunButRan    int      `json:"not_run_but_ran"`
	StillHeld       int      `json:"still_held"` // engine memory held after the end
	Examples        []string `json:"examples,omitempty"`
}

// endpointAudit holds the fields used of an emulated endpoint's audit.
type endpointAudit struct {
	Endpoint    string         `json:"endpoint"`
	Incarnation uint64         `json:"incarnation"`
	Discarded   float64        `json:"prefill_discarded_ms"`
	Held        int            `json:"held"`
	Attempts    []auditAttempt `json:"attempts"`
	CallRuns    []auditCall    `json:"call_runs"`
}

type auditAttempt struct {
	Attempt   string  `json:"attempt_id"`
	Marker    string  `json:"marker"`
	Prefills  int     `json:"prefills"`
	Decodes   int     `json:"decodes"`
	PrefillMs float64 `json:"prefill_ms"`
	Offset    int     `json:"offset"`
	Finish    string  `json:"finish"`
}

type auditCall struct {
	Marker string `json:"marker"`
}

// readAudits reads the audits of all endpoints in parallel. Endpoints that don't
// respond are left out.
func readAudits(ctx context.Context, client *http.Client, addresses []string) []endpointAudit {
	audits := make([]*endpointAudit, len(addresses))
	var wait sync.WaitGroup
	for n, address := range addresses {
		wait.Go(func() { audits[n] = readAudit(ctx, client, address) })
	}
	wait.Wait()
	var out []endpointAudit
	for _, a := range audits {
		if a != nil {
			out = append(out, *a)
		}
	}
	return out
}

func readAudit(ctx context.Context, client *http.Client, address string) *endpointAudit {
	a := &endpointAudit{}
	if getJSON(ctx, client, "http://"+address+"/audit", a) != nil {
		return nil
	}
	return a
}

// getJSON decodes the JSON response of an emulated endpoint into into.
func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(io.LimitReader(response.Body, maxAuditBytes)).Decode(into)
}

const maxExamples = 10

// auditResult evaluates the audits of the run whose markers begin with its name.
func auditResult(run string, before, after []endpointAudit, tallies []*tally) *AuditResult {
	r := &AuditResult{Endpoints: len(after)}
	combined := combineAudits(run, after)
	for attempt, work := range combined.prefillMs {
		r.PrefillMs += work
		if !combined.decoded[attempt] {
			r.WastedPrefillMs += work
		}
	}
	if r.PrefillMs > 0 {
		r.WastedShare = r.WastedPrefillMs / r.PrefillMs
	}
	earlier := map[string]float64{}
	for _, a := range before {
		earlier[a.key()] = a.Discarded
	}
	for _, a := range after {
		r.StillHeld += a.Held
		r.DiscardedMs += a.Discarded - earlier[a.key()]
	}
	for _, t := range tallies {
		combined.countViolations(r, run, t)
	}
	return r
}

// countViolations counts a stream's requests that ran twice, or that ran although
// the answer to their caller said that they hadn't.
func (b *combinedAudit) countViolations(r *AuditResult, run string, t *tally) {
	runs := b.completions
	if t.stream.Service != "" {
		runs = b.callRuns
	}
	prefix := run + "-" + t.stream.Name + "-"
	for marker, count := range runs {
		mayRepeat := t.stream.Service != "" && !t.stream.NotIdempotent
		if count > 1 && !mayRepeat && strings.HasPrefix(marker, prefix) {
			r.Doubled++
			r.addExample("doubled " + marker)
		}
	}
	for _, marker := range t.notRun {
		if b.callRuns[marker] > 0 || b.decodesBegun[marker] > 0 {
			r.NotRunButRan++
			r.addExample("ran but told not-run " + marker)
		}
	}
}

func (r *AuditResult) addExample(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}

func (a endpointAudit) key() string {
	b, _ := json.Marshal([]any{a.Endpoint, a.Incarnation})
	return string(b)
}

// combinedAudit combines the audits of all endpoints for one run.
type combinedAudit struct {
	prefillMs    map[string]float64 // by attempt
	decoded      map[string]bool    // attempts whose decode began
	decodesBegun map[string]int     // decodes by marker
	completions  map[string]int     // complete answers decoded, by marker
	callRuns     map[string]int     // runs of plain calls, by marker
}

func combineAudits(run string, audits []endpointAudit) *combinedAudit {
	b := &combinedAudit{
		prefillMs: map[string]float64{}, decoded: map[string]bool{},
		decodesBegun: map[string]int{}, completions: map[string]int{}, callRuns: map[string]int{},
	}
	for _, a := range audits {
		for _, t := range a.Attempts {
			if strings.HasPrefix(t.Marker, run+"-") || t.Marker == "" {
				b.addAttempt(t)
			}
		}
		for _, c := range a.CallRuns {
			b.callRuns[c.Marker]++
		}
	}
	return b
}

func (b *combinedAudit) addAttempt(t auditAttempt) {
	if t.Prefills > 0 && t.Marker != "" {
		b.prefillMs[t.Attempt] += t.PrefillMs
	}
	if t.Decodes == 0 {
		return
	}
	b.decoded[t.Attempt] = true
	b.decodesBegun[t.Marker]++
	if t.Offset == 0 && (t.Finish == "stop" || t.Finish == "length") {
		b.completions[t.Marker]++
	}
}
