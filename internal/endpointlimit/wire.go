package endpointlimit

import (
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func toWire(now time.Time, h Heard) *pb.EndpointLimit {
	age := min(max(0, now.Sub(h.At).Milliseconds()), math.MaxUint32)
	return &pb.EndpointLimit{Limited: h.Limited, PerSecond: h.PerSecond, AgeMs: uint32(age)}
}

// fromWire reads what another process knows, whose age counts from at.
func fromWire(at time.Time, w *pb.EndpointLimit) Heard {
	age := time.Duration(w.GetAgeMs()) * time.Millisecond
	return Heard{Limited: w.GetLimited(), PerSecond: w.GetPerSecond(), At: at.Add(-age)}
}
