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

// kind is one kind of request.
type kind struct {
	name  string
	path  string
	body  string
	keyed bool // has an idempotency key
	// atOnce is the number of callers in the test at full rate: few enough that
	// the emulated engines refuse none, since refusals cost processor time too.
	atOnce int
}

const modelBody = `{"model": "` + modelName + `", "messages": [{"role": "user", "content": "Three bales of cotton offcuts."}], "max_tokens": 8}`

var kinds = []kind{
	{"service call, repeatable", "/v1/services/" + serviceName + "/any", "slip", false, 16},
	{"service call, repeatable, with key", "/v1/services/" + serviceName + "/any", "slip", true, 16},
	{"service call, not repeatable", "/v1/services/" + serviceName + "/once", "slip", true, 16},
	{"model request", "/v1/chat/completions", modelBody, false, 8},
	{"model request, with key", "/v1/chat/completions", modelBody, true, 8},
}

// measureCalls sends requests of each kind to one entry: one after another for
// messages and latency, then many at once for processor time.
func measureCalls(ctx context.Context, o options, r *report) error {
	return withFleet(ctx, o, midSize, func(f *testFleet) error {
		const perRole = 6
		roles := []string{"plain", "prefill", "decode"}
		for _, role := range roles {
			if err := f.startStandins(role, "calls", perRole); err != nil {
				return trace.Wrap(err)
			}
		}
		if err := f.untilListed(ctx, perRole*len(roles)); err != nil {
			return trace.Wrap(err)
		}
		if err := pause(ctx, o.settle); err != nil {
			return err
		}
		for _, k := range kinds {
			idle, err := f.during(ctx, o.window, nil)
			if err != nil {
				return trace.Wrap(err)
			}
			if err := f.sequence(ctx, r, k, idle); err != nil {
				return trace.Wrap(err, "%s", k.name)
			}
			if err := f.flood(ctx, r, k, idle); err != nil {
				return trace.Wrap(err, "%s", k.name)
			}
		}
		return nil
	})
}

// sequence counts messages and takes latencies, less what passes when idle.
func (f *testFleet) sequence(ctx context.Context, r *report, k kind, idle span) error {
	client := newCaller()
	defer client.CloseIdleConnections()
	t := newTally()
	before, err := f.samples(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	for n := range f.options.calls {
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
		t.add(k.name+": "+service+" calls for each", "fleet", "1", count/float64(f.options.calls))
		t.add(k.name+": "+service+" bytes for each", "fleet", "B", bytes/float64(f.options.calls))
	}
	t.report(r, size{varyCallers, 1})
	return nil
}

func (s span) seconds() float64 { return s.after[0].at.Sub(s.before[0].at).Seconds() }

// callsOf sums the calls that the clients of all daemons have ended.
func (f *testFleet) callsOf(s span, service string) float64 {
	return f.clients(s, metricCalls, service)
}

// bytesOf sums the bytes both ways at the clients of all daemons.
func (f *testFleet) bytesOf(s span, service string) float64 {
	return f.clients(s, metricBytes, service)
}

func (f *testFleet) clients(s span, metric, service string) float64 {
	total := 0.0
	for n := range f.instances {
		before := s.before[n].by(metric, "method", labels{"side": "client"})
		for method, value := range s.after[n].by(metric, "method", labels{"side": "client"}) {
			if strings.HasPrefix(method, service+"/") {
				total += value - before[method]
			}
		}
	}
	return total
}

// flood sends from many callers at once, spread over the entries. Processor
// time is that above an idle fleet's.
func (f *testFleet) flood(ctx context.Context, r *report, k kind, idle span) error {
	client := newCaller()
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	t := newTally()
	done, refused := 0, 0
	entries := f.entries()
	s, err := f.during(ctx, f.options.burst, func(limited context.Context) error {
		group, _ := errgroup.WithContext(ctx)
		for n := range k.atOnce {
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
	t.report(r, size{varyCallers, k.atOnce})
	return nil
}

const mostCallers = 128

func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostCallers}, Timeout: 20 * time.Second}
}

// call sends one request to an entry; a refusal is an error.
func call(ctx context.Context, client *http.Client, to *instance, k kind, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Callers+k.path, strings.NewReader(k.body))
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set(callerapi.HeaderAuthorise, "Bearer "+teamKey(0))
	request.Header.Set("Content-Type", "application/json")
	if k.keyed {
		request.Header.Set(callerapi.HeaderKey, k.name+" "+name)
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("%s: %d %s", k.name, response.StatusCode, answer)
	}
	return nil
}
