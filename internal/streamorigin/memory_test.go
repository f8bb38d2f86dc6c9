package streamorigin

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTableMemory reports the memory of one record of a stream.
func BenchmarkTableMemory(b *testing.B) {
	const streams = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable()
		for n := range streams {
			var key Key
			binary.BigEndian.PutUint64(key[:], uint64(n)*0x9E3779B97F4A7C15)
			t.put(time.Unix(0, 0), key, Origin{Service: "s", Software: "v1"}, EndpointSum(n), time.Minute)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		runtime.KeepAlive(t)
	}
}
