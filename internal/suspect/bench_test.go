package suspect

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// BenchmarkFingerprint measures the fingerprint of a request of 4 KB, which is computed for
// each request while there is any finding.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 4<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf(nil, "caller", "POST host /path", body)
	}
}

// BenchmarkLosses measures adding losses to a full table, as after the deaths of many
// endpoints.
func BenchmarkLosses(b *testing.B) {
	l := NewLossTracker(DefaultLimits)
	now := time.Unix(1_000_000, 0)
	n := uint64(0)
	for b.Loop() {
		n++
		var f fleet.Fingerprint
		binary.BigEndian.PutUint64(f[:], n)
		l.RecordLoss(now, Loss{Fingerprint: f, Sent: now, Ended: now, Exchange: "x", Sequence: 1})
	}
}
