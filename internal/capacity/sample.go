package main

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// sample is a snapshot of one daemon's metrics.
type sample struct {
	at       time.Time
	families map[string]*dto.MetricFamily
}

func (f *testFleet) sampleOf(ctx context.Context, client *http.Client, i *instance) (sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+i.Operators+"/metrics", nil)
	if err != nil {
		return sample{}, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return sample{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	return sample{at: time.Now(), families: families}, trace.Wrap(err)
}

// labels selects the series of a metric that have all of these label values.
type labels map[string]string

func (l labels) match(m *dto.Metric) bool {
	found := 0
	for _, pair := range m.GetLabel() {
		if want, ok := l[pair.GetName()]; ok && want == pair.GetValue() {
			found++
		}
	}
	return found == len(l)
}

// sum returns the sum of all matching series of a counter or gauge.
func (s sample) sum(name string, l labels) float64 {
	total := 0.0
	for _, m := range s.families[name].GetMetric() {
		if l.match(m) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
	}
	return total
}

// sumBy returns the sum of all matching series of a counter for each value of one label.
func (s sample) sumBy(name, label string, l labels) map[string]float64 {
	out := make(map[string]float64)
	for _, m := range s.families[name].GetMetric() {
		if !l.match(m) {
			continue
		}
		for _, pair := range m.GetLabel() {
			if pair.GetName() == label {
				out[pair.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	return out
}

// samples takes a sample of each daemon, in the order of the instances.
func (f *testFleet) samples(ctx context.Context) ([]sample, error) {
	transport, err := f.transport()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	out := make([]sample, len(f.instances))
	err = f.forEachInstance(func(n int, i *instance) error {
		var err error
		out[n], err = f.sampleOf(ctx, client, i)
		return trace.Wrap(err, "metrics of %s", i.ID)
	})
	return out, err
}
