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

// sample is what one daemon's metrics said at one time.
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

// labels select rows of a counter; a row must have all of them.
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

// sum adds all rows of a counter or gauge that match.
func (s sample) sum(name string, l labels) float64 {
	total := 0.0
	for _, m := range s.families[name].GetMetric() {
		if l.match(m) {
			total += m.GetCounter().GetValue() + m.GetGauge().GetValue() + m.GetUntyped().GetValue()
		}
	}
	return total
}

// by adds all rows that match, for each value of one label.
func (s sample) by(name, label string, l labels) map[string]float64 {
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

// samples takes one of each daemon, in the order of the instances.
func (f *testFleet) samples(ctx context.Context) ([]sample, error) {
	transport, err := f.transport()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 10 * time.Second}
	out := make([]sample, len(f.instances))
	err = f.each(func(n int, i *instance) error {
		var err error
		out[n], err = f.sampleOf(ctx, client, i)
		return trace.Wrap(err, "metrics of %s", i.ID)
	})
	return out, err
}
