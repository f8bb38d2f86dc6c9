package entry

import "time"

// Bounds limit what one caller may use.
type Bounds struct {
	BodyBytes   int64         // when the team's settings give none
	KeyBytes    int           // longest Idempotency-Key
	HeaderBytes int           // all headers of a request
	HeaderTime  time.Duration // until the headers are read
	BodyTime    time.Duration // until the body is read
	WriteTime   time.Duration // one write to a caller that reads slowly
	IdleTime    time.Duration // a connection without request
	Addresses   int           // in one address answer
}

// DefaultBounds are used for the fields left zero.
var DefaultBounds = Bounds{
	BodyBytes:   4 << 20,
	KeyBytes:    256,
	HeaderBytes: 32 << 10,
	HeaderTime:  5 * time.Second,
	BodyTime:    30 * time.Second,
	WriteTime:   10 * time.Second,
	IdleTime:    2 * time.Minute,
	Addresses:   16,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	if b.BodyBytes <= 0 {
		b.BodyBytes = d.BodyBytes
	}
	if b.KeyBytes <= 0 {
		b.KeyBytes = d.KeyBytes
	}
	if b.HeaderBytes <= 0 {
		b.HeaderBytes = d.HeaderBytes
	}
	if b.Addresses <= 0 {
		b.Addresses = d.Addresses
	}
	b.HeaderTime = orTime(b.HeaderTime, d.HeaderTime)
	b.BodyTime = orTime(b.BodyTime, d.BodyTime)
	b.WriteTime = orTime(b.WriteTime, d.WriteTime)
	b.IdleTime = orTime(b.IdleTime, d.IdleTime)
	return b
}

func orTime(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
