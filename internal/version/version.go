// Package version identifies the build, for the version command, the logs and the build
// information metric.
package version

import (
	"runtime"

	"github.com/prometheus/client_golang/prometheus"
)

// Version is set by scripts/build through the linker.
var Version = "unknown"

// Text returns the program's name, its version and the Go release in one line.
func Text(program string) string {
	return program + " " + Version + " (" + runtime.Version() + ")"
}

// NewMetric returns a gauge with the constant value 1, whose labels identify the build.
func NewMetric() prometheus.Collector {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name:        "hyssopsail_build_info",
		Help:        "Always 1; the labels hold version and Go release.",
		ConstLabels: prometheus.Labels{"version": Version, "go": runtime.Version()},
	})
	gauge.Set(1)
	return gauge
}
