package quarantine

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// BenchmarkRegister measures the work of a guard for a run of a new fingerprint, and the memory
// that it keeps for it.
func BenchmarkRegister(b *testing.B) {
	limits := DefaultLimits
	limits.MaxTracked = 1 << 30
	r := NewRegister(limits)
	shared := SharedState{Alive: func(fleet.Owner) bool { return true }}
	now := time.Unix(1_000_000, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for n := range b.N {
		var f fleet.Fingerprint
		binary.BigEndian.PutUint64(f[:], uint64(n))
		r.Begin(now, RunRequest{Fingerprint: f, Attempt: "attempt"}, shared)
		r.End(now, f, "attempt", true, false, shared)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(r.Len()), "bytes/fingerprint")
	runtime.KeepAlive(r)
}
