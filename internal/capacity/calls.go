package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// requestKind is one kind of request.
type requestKind struct {
	name  string
	path  string
	body  string
	keyed bool // has an idempotency key
	// concurrency is the number of callers in the test at full rate. It is low
	// enough that the emulated engines refuse no request, since refusals cost CPU
	// time too.
	concurrency int
}

const modelBody = `{"model": "` + modelName + `", "messages": [{"role": "user", "content": "Three bales of cotton offcuts."}], "max_tokens": 8}`

var kinds = []requestKind{
	{"service call, repeatable", "/v1/services/" + serviceName + "/any", "slip", false, 16},
	{"service call, repeatable, with key", "/v1/services/" + serviceName + "/any", "slip", true, 16},
	{"service call, not repeatable", "/v1/services/" + serviceName + "/once", "slip", true, 16},
	{"model request", "/v1/chat/completions", modelBody, false, 8},
	{"model request, with key", "/v1/chat/completions", modelBody, true, 8},
}

// measureCalls sends requests of each kind: sequentially to one entry to measure
// messages and latency, then concurrently to all entries to measure CPU time.
func measureCalls(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, defaultFleetSize, func(f *testFleet) error {
		const perRole = 6
		roles := []string{"plain", "prefill", "decode"}
		for _, role := range roles {
			if err := f.startStandins(role, "calls", perRole); err != nil {
				return trace.Wrap(err)
			}
		}
		if err := f.waitForEndpoints(ctx, perRole*len(roles)); err != nil {
			return trace.Wrap(err)
		}
		if err := sleepFor(ctx, o.settleDuration); err != nil {
			return err
		}
		for _, k := range kinds {
			idle, err := f.sampleWindow(ctx, o.windowDuration, nil)
			if err != nil {
				return trace.Wrap(err)
			}
			if err := f.measureSequential(ctx, r, k, idle); err != nil {
				return trace.Wrap(err, "%s", k.name)
			}
			if err := f.measureConcurrent(ctx, r, k, idle); err != nil {
				return trace.Wrap(err, "%s", k.name)
			}
		}
		return nil
	})
}

// measureSequential measures messages and latencies of sequential requests. Messages
// of an idle fleet are subtracted.
func (f *testFleet) measureSequential(ctx context.Context, r *report, k requestKind, idle span) error {
	client := newCallerClient()
	defer client.CloseIdleConnections()
	t := newTally()
	before, err := f.samples(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	for n := range f.options.callsPerKind {
		sent := time.Now()
		if err := call(ctx, client, f.entries()[0], k, fmt.Sprint("sequence-", n)); err != nil {
			return trace.Wrap(err)
		}
		t.add(k.name, "fleet", "ms", milliseconds(time.Since(sent)))
	}
	after, err := f.samples(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	busy := span{before, after}
	for _, service := range []string{"Home", "Ledger", "Control"} {
		count := f.callsOf(busy, service) - f.callsOf(idle, service)*busy.seconds()/idle.seconds()
		bytes := f.bytesOf(busy, service) - f.bytesOf(idle, service)*busy.seconds()/idle.seconds()
		t.add(k.name+": "+service+" calls for each", "fleet", "1", count/float64(f.options.callsPerKind))
		t.add(k.name+": "+service+" bytes for each", "fleet", "B", bytes/float64(f.options.callsPerKind))
	}
	t.report(r, sweepPoint{variableCallers, 1})
	return nil
}

func (s span) seconds() float64 { return s.after[0].at.Sub(s.before[0].at).Seconds() }

// callsOf returns the completed calls to a service, summed over the clients of all
// daemons.
func (f *testFleet) callsOf(s span, service string) float64 {
	return f.sumClients(s, metricCalls, service)
}

// bytesOf returns the bytes sent and received in calls to a service, summed over the
// clients of all daemons.
func (f *testFleet) bytesOf(s span, service string) float64 {
	return f.sumClients(s, metricBytes, service)
}

func (f *testFleet) sumClients(s span, metric, service string) float64 {
	total := 0.0
	for n := range f.instances {
		before := s.before[n].sumBy(metric, "method", labels{"side": "client"})
		for method, value := range s.after[n].sumBy(metric, "method", labels{"side": "client"}) {
			if strings.HasPrefix(method, service+"/") {
				total += value - before[method]
			}
		}
	}
	return total
}

// measureConcurrent sends requests from concurrent callers, spread over the entries.
// The CPU time of an idle fleet is subtracted.
func (f *testFleet) measureConcurrent(ctx context.Context, r *report, k requestKind, idle span) error {
	client := newCallerClient()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	t := newTally()
	done, refused := 0, 0
	entries := f.entries()
	s, err := f.sampleWindow(ctx, f.options.burstDuration, func(limited context.Context) error {
		group, _ := errgroup.WithContext(ctx)
		for n := range k.concurrency {
			group.Go(func() error {
				for turn := 0; limited.Err() == nil; turn++ {
					sent := time.Now()
					err := call(ctx, client, entries[n%len(entries)], k, fmt.Sprint("flood-", n, "-", turn))
					mu.Lock()
					if err == nil {
						done++
						t.add(k.name, "fleet", "ms", milliseconds(time.Since(sent)))
					} else {
						refused++
					}
					mu.Unlock()
				}
				return nil
			})
		}
		return group.Wait()
	})
	if err != nil {
		return trace.Wrap(err)
	}
	cpu := 0.0
	for n := range f.instances {
		cpu += s.growth(n, metricCPU, nil) - s.seconds()*idle.rate(n, metricCPU, nil)
	}
	t.add(k.name+": done", "fleet", "1/s", float64(done)/s.seconds())
	t.add(k.name+": refused or failed", "fleet", "1", float64(refused))
	t.add(k.name+": cpu of all daemons for each", "fleet", "ms", 1000*cpu/float64(max(done, 1)))
	t.report(r, sweepPoint{variableCallers, k.concurrency})
	return nil
}

const maxIdleCallerConns = 128

// maxAnswerBytes bounds what is read of an answer, which is thrown away.
const maxAnswerBytes = 16 << 20

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCallerConns}, Timeout: 20 * time.Second}
}

// call sends one request to an entry; an error status is returned as an error.
func call(ctx context.Context, client *http.Client, to *instance, k requestKind, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Callers+k.path, strings.NewReader(k.body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorization, "Bearer "+teamKey(0))
	request.Header.Set("Content-Type", "application/json")
	if k.keyed {
		request.Header.Set(callerapi.HeaderIdempotencyKey, k.name+" "+name)
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("%s: %d %s", k.name, response.StatusCode, answer)
	}
	return nil
}
