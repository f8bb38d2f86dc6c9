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
	auditTimeout = 20 * time.Second
	maxAudit     = 1 << 30
)

// AuditResult is what the emulated endpoints say about the run's requests.
// What a process did before it died is missing, save for one that was ended by
// the crash fault and left its audit.
type AuditResult struct {
	Endpoints       int      `json:"endpoints"` // that answered
	PrefillMs       float64  `json:"prefill_ms"`
	WastedPrefillMs float64  `json:"wasted_prefill_ms"` // of attempts whose decode never began
	WastedShare     float64  `json:"wasted_share"`
	DiscardedMs     float64  `json:"discarded_ms"` // thrown away before it left the prefill engine, by the endpoints' own count
	Doubled         int      `json:"doubled"`      // calls that may not repeat but ran twice, and answers decoded whole twice
	NotRunButRan    int      `json:"not_run_but_ran"`
	StillHeld       int      `json:"still_held"` // engine memory held after the end
	Examples        []string `json:"examples,omitempty"`
}

// endpointAudit is the part of an emulated endpoint's audit that is used.
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

// readAudits asks all endpoints at once. One that doesn't answer is left out.
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

// getJSON asks an emulated endpoint about itself.
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
	return json.NewDecoder(io.LimitReader(response.Body, maxAudit)).Decode(into)
}

const maxExamples = 10

// auditResult judges the audits of the run whose markers begin with its name.
func auditResult(run string, before, after []endpointAudit, tallies []*tally) *AuditResult {
	r := &AuditResult{Endpoints: len(after)}
	book := newAuditBook(run, after)
	for attempt, work := range book.prefill {
		r.PrefillMs += work
		if !book.decoded[attempt] {
			r.WastedPrefillMs += work
		}
	}
	if r.PrefillMs > 0 {
		r.WastedShare = r.WastedPrefillMs / r.PrefillMs
	}
	earlier := map[string]float64{}
	for _, a := range before {
		earlier[a.name()] = a.Discarded
	}
	for _, a := range after {
		r.StillHeld += a.Held
		r.DiscardedMs += a.Discarded - earlier[a.name()]
	}
	for _, t := range tallies {
		book.judge(r, run, t)
	}
	return r
}

// judge counts a stream's requests that ran twice, or ran though their caller
// was told that they hadn't.
func (b *auditBook) judge(r *AuditResult, run string, t *tally) {
	runs := b.whole
	if t.stream.Service != "" {
		runs = b.calls
	}
	prefix := run + "-" + t.stream.Name + "-"
	for marker, count := range runs {
		mayRepeat := t.stream.Service != "" && !t.stream.NotIdempotent
		if count > 1 && !mayRepeat && strings.HasPrefix(marker, prefix) {
			r.Doubled++
			r.example("doubled " + marker)
		}
	}
	for _, marker := range t.notRun {
		if b.calls[marker] > 0 || b.begun[marker] > 0 {
			r.NotRunButRan++
			r.example("ran but told not-run " + marker)
		}
	}
}

func (r *AuditResult) example(text string) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, text)
	}
}

func (a endpointAudit) name() string {
	b, _ := json.Marshal([]any{a.Endpoint, a.Incarnation})
	return string(b)
}

// auditBook joins the audits of all endpoints for one run.
type auditBook struct {
	prefill map[string]float64 // work by attempt
	decoded map[string]bool    // attempts whose decode began
	begun   map[string]int     // decodes by marker
	whole   map[string]int     // whole answers made, by marker
	calls   map[string]int     // plain calls run, by marker
}

func newAuditBook(run string, audits []endpointAudit) *auditBook {
	b := &auditBook{
		prefill: map[string]float64{}, decoded: map[string]bool{},
		begun: map[string]int{}, whole: map[string]int{}, calls: map[string]int{},
	}
	for _, a := range audits {
		for _, t := range a.Attempts {
			if strings.HasPrefix(t.Marker, run+"-") || t.Marker == "" {
				b.attempt(t)
			}
		}
		for _, c := range a.CallRuns {
			b.calls[c.Marker]++
		}
	}
	return b
}

func (b *auditBook) attempt(t auditAttempt) {
	if t.Prefills > 0 && t.Marker != "" {
		b.prefill[t.Attempt] += t.PrefillMs
	}
	if t.Decodes == 0 {
		return
	}
	b.decoded[t.Attempt] = true
	b.begun[t.Marker]++
	if t.Offset == 0 && (t.Finish == "stop" || t.Finish == "length") {
		b.whole[t.Marker]++
	}
}
