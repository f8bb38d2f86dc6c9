package main

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/operator"
)

// Names of the metrics that are read from daemons.
const (
	metricBytes    = "hyssopsail_rpc_bytes_total"
	metricCalls    = "hyssopsail_rpc_calls_total"
	metricListener = "hyssopsail_listener_bytes_total"
	metricCPU      = "process_cpu_seconds_total"
	metricResident = "process_resident_memory_bytes"
	metricHeap     = "go_memstats_heap_alloc_bytes"
)

// span holds two samples of each daemon, in the order of the instances.
type span struct {
	before, after []sample
}

// sampleWindow samples all daemons before and after a window during which do runs;
// if do is nil, the fleet is idle.
func (f *testFleet) sampleWindow(ctx context.Context, window time.Duration, do func(context.Context) error) (span, error) {
	before, err := f.samples(ctx)
	if err != nil {
		return span{}, trace.Wrap(err)
	}
	if do == nil {
		err = sleepFor(ctx, window)
	} else {
		limited, cancel := context.WithTimeout(ctx, window)
		err = do(limited)
		cancel()
	}
	if err != nil {
		return span{}, trace.Wrap(err)
	}
	after, err := f.samples(ctx)
	return span{before, after}, trace.Wrap(err)
}

// rate returns a counter's growth per second at the n-th daemon.
func (s span) rate(n int, name string, l labels) float64 {
	return s.growth(n, name, l) / s.after[n].at.Sub(s.before[n].at).Seconds()
}

func (s span) growth(n int, name string, l labels) float64 {
	return s.after[n].sum(name, l) - s.before[n].sum(name, l)
}

// roleOf returns the role under which a daemon's figures are reported. Control
// instances that also serve callers are "leader" or "control".
func (f *testFleet) roleOf(i, leader *instance) string {
	switch {
	case i == leader:
		return "leader"
	case i.IsControl():
		return roleControl
	}
	return roleEntry
}

// tally collects values by name, role and unit until they are reported.
type tally struct {
	order  []tallyKey
	values map[tallyKey][]float64
}

type tallyKey struct{ name, role, unit string }

func newTally() *tally { return &tally{values: make(map[tallyKey][]float64)} }

func (t *tally) add(name, role, unit string, value float64) {
	key := tallyKey{name, role, unit}
	if _, ok := t.values[key]; !ok {
		t.order = append(t.order, key)
	}
	t.values[key] = append(t.values[key], value)
}

func (t *tally) report(r *report, at sweepPoint) {
	for _, key := range t.order {
		r.add(key.name, key.role, key.unit, at, t.values[key])
	}
}

// addUsage adds the resource usage of each daemon in a span.
func (f *testFleet) addUsage(t *tally, s span, leader *instance) {
	for n, i := range f.instances {
		role := f.roleOf(i, leader)
		t.add("rpc sent", role, "B/s", s.rate(n, metricBytes, labels{"direction": "sent"}))
		t.add("rpc received", role, "B/s", s.rate(n, metricBytes, labels{"direction": "received"}))
		t.add("rpc calls made and answered", role, "1/s", s.rate(n, metricCalls, nil))
		t.add("endpoints sent", role, "B/s", s.rate(n, metricListener, labels{"listener": "endpoints", "direction": "sent"}))
		t.add("endpoints received", role, "B/s", s.rate(n, metricListener, labels{"listener": "endpoints", "direction": "received"}))
		t.add("cpu", role, "core", s.rate(n, metricCPU, nil))
		t.add("resident", role, "MB", s.after[n].sum(metricResident, nil)/1e6)
		t.add("heap", role, "MB", s.after[n].sum(metricHeap, nil)/1e6)
		for method := range s.after[n].sumBy(metricBytes, "method", nil) {
			t.add("rpc both ways: "+method, role, "B/s", s.rate(n, metricBytes, labels{"method": method}))
			t.add("rpc calls: "+method, role, "1/s", s.rate(n, metricCalls, labels{"method": method}))
		}
	}
}

func (f *testFleet) transport() (*http.Transport, error) {
	secure, err := operator.ClientTLS(filepath.Join(f.folder, "keys", certs.AuthorityFile))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &http.Transport{TLSClientConfig: secure, MaxIdleConnsPerHost: 64}, nil
}

// measureUsage measures resource usage in the windows of one size, idle or while do
// runs.
func (f *testFleet) measureUsage(ctx context.Context, r *report, at sweepPoint, do func(context.Context) error) error {
	leader, err := f.leader(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	t := newTally()
	for range f.options.windowsPerSize {
		s, err := f.sampleWindow(ctx, f.options.windowDuration, do)
		if err != nil {
			return trace.Wrap(err)
		}
		f.addUsage(t, s, leader)
	}
	t.report(r, at)
	return nil
}
