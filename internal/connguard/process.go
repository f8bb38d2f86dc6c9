package connguard

import "github.com/prometheus/client_golang/prometheus"

// Process makes the Guards of a process's listeners, which share its processor time.
type Process struct {
	processor *Processor
	metrics   *Metrics
	warn      func(message string, keyValues ...any)
}

// NewProcess returns a Process. Connections that use much processor time have a share of it for what they
// send, DefaultProcessorShare for 0. to may be nil; warn is as in Options.
func NewProcess(processorShare float64, to prometheus.Registerer, warn func(message string, keyValues ...any)) Process {
	return Process{processor: NewProcessor(processorShare), metrics: NewMetrics(to), warn: warn}
}

// Guard returns the Guard of a listener.
func (p Process) Guard(listener string, l Limits) *Guard {
	return New(Options{Listener: listener, Limits: l, Processor: p.processor, Metrics: p.metrics, Warn: p.warn})
}
