package membership

import (
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
)

type metrics struct {
	bytes    *prometheus.CounterVec
	renewals *prometheus.CounterVec
	index    prometheus.Gauge
	view     prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_membership_message_bytes",
			Help: "Bytes of messages to and from the control group, before framing.",
		}, []string{"call", "direction"}),
		renewals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_membership_renewals_total",
			Help: "Lease renewals, by result.",
		}, []string{"result"}),
		index: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_membership_state_index",
			Help: "Log index of the shared state here.",
		}),
		view: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_membership_view_number",
			Help: "Number of the view here.",
		}),
	}
	if r != nil {
		r.MustRegister(m.bytes, m.renewals, m.index, m.view)
	}
	return m
}

func (m *metrics) countBytes(call string, request, reply proto.Message) {
	m.bytes.WithLabelValues(call, "out").Add(float64(proto.Size(request)))
	m.bytes.WithLabelValues(call, "in").Add(float64(proto.Size(reply)))
}
