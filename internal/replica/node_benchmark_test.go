package replica

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// quantiles reports the median and the 99th percentile in milliseconds.
func quantiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

// Measures proposals of 256 bytes by one and by many concurrent proposers, on
// three nodes with real syncs and drpc over TLS on the loopback interface.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []struct {
		name      string
		proposers int
	}{{"1", 1}, {"16", 16}, {"256", 256}} {
		b.Run(size.name, func(b *testing.B) { benchmarkPropose(b, size.proposers) })
	}
}

func benchmarkPropose(b *testing.B, proposers int) {
	_, all := startProcesses(b, 3)
	node := waitForLeaderProcess(b, all).node
	command := make([]byte, 256)
	took := make([][]time.Duration, proposers)
	var wait sync.WaitGroup
	b.ResetTimer()
	for i := range proposers {
		wait.Go(func() {
			for n := i; n < b.N; n += proposers {
				began := time.Now()
				if _, err := node.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				took[i] = append(took[i], time.Since(began))
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	quantiles(b, slices.Concat(took...))
}

// Measures the time from the stop of the leader until another leader has
// confirmed its leadership.
func BenchmarkLeaderKilled(b *testing.B) {
	config, all := startProcesses(b, 3)
	var took []time.Duration
	for b.Loop() {
		leader := waitForLeaderProcess(b, all)
		rest := without(all, leader)
		began := time.Now()
		leader.stop()
		<-leader.ended
		next := waitForLeaderProcess(b, rest)
		took = append(took, time.Since(began))
		startProcess(b, config, leader)
		_, err := next.node.Propose(context.Background(), []byte("x"))
		assert.NilError(b, err)
	}
	quantiles(b, took)
}
