package endpointlimit

import (
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func toWire(now time.Time, limit KnownLimit) *pb.EndpointLimit {
	ageMs := min(max(0, now.Sub(limit.AsOf).Milliseconds()), math.MaxUint32)
	return &pb.EndpointLimit{Limited: limit.Limited, PerSecond: limit.PerSecond, AgeMs: uint32(ageMs)}
}

// fromWire decodes a limit known to another process. Its age counts back from at.
func fromWire(at time.Time, w *pb.EndpointLimit) KnownLimit {
	age := time.Duration(w.GetAgeMs()) * time.Millisecond
	return KnownLimit{Limited: w.GetLimited(), PerSecond: w.GetPerSecond(), AsOf: at.Add(-age)}
}
