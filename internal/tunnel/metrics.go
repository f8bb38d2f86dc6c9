package tunnel

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// statusLabels are the label values of results.
var statusLabels = map[pb.TunnelStatus]string{
	pb.TunnelStatus_TUNNEL_STATUS_CONNECTED:   "connected",
	pb.TunnelStatus_TUNNEL_STATUS_REFUSED:     "refused",
	pb.TunnelStatus_TUNNEL_STATUS_UNANSWERED:  "unanswered",
	pb.TunnelStatus_TUNNEL_STATUS_UNAVAILABLE: "unavailable",
	pb.TunnelStatus_TUNNEL_STATUS_NO_LINK:     "no-link",
}

// serverMetrics holds the metrics of a Server.
type serverMetrics struct {
	connected *prometheus.CounterVec
	active    prometheus.Gauge
}

func newServerMetrics(to prometheus.Registerer) *serverMetrics {
	with := promauto.With(to)
	return &serverMetrics{
		connected: with.NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_tunnel_requested_total",
			Help: "Connections to endpoints that siblings asked this entry for, by what became of them.",
		}, []string{"result"}),
		active: with.NewGauge(prometheus.GaugeOpts{
			Name: "hyssopsail_tunnel_carried_count",
			Help: "Connections to endpoints that this entry carries for siblings.",
		}),
	}
}

// clientMetrics holds the metrics of a Client.
type clientMetrics struct {
	opened *prometheus.CounterVec
}

func newClientMetrics(to prometheus.Registerer) *clientMetrics {
	return &clientMetrics{opened: promauto.With(to).NewCounterVec(prometheus.CounterOpts{
		Name: "hyssopsail_tunnel_opened_total",
		Help: "Connections to endpoints that this entry asked siblings for, by what became of them.",
	}, []string{"result"})}
}
