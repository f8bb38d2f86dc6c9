package entry

import "time"

// Bounds limit what one caller may use. Headers and idle connections are
// bounded by the HTTP server.
type Bounds struct {
	BodyBytes int64         // when the team's settings give none
	KeyBytes  int           // longest Idempotency-Key
	BodyTime  time.Duration // until the body is read
	WriteTime time.Duration // one write to a caller that reads slowly
	StartTime time.Duration // for which a daemon that has just started has requests wait for its settings
	Addresses int           // in one address answer
}

// DefaultBounds are used for the fields left zero.
var DefaultBounds = Bounds{
	BodyBytes: 4 << 20,
	KeyBytes:  256,
	BodyTime:  30 * time.Second,
	WriteTime: 10 * time.Second,
	StartTime: 2 * time.Second,
	Addresses: 16,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	if b.BodyBytes <= 0 {
		b.BodyBytes = d.BodyBytes
	}
	if b.KeyBytes <= 0 {
		b.KeyBytes = d.KeyBytes
	}
	if b.Addresses <= 0 {
		b.Addresses = d.Addresses
	}
	b.BodyTime = orTime(b.BodyTime, d.BodyTime)
	b.WriteTime = orTime(b.WriteTime, d.WriteTime)
	b.StartTime = orTime(b.StartTime, d.StartTime)
	return b
}

func orTime(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
