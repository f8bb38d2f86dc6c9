package entry

import "time"

// Bounds limit what one caller may use. The HTTP server limits headers and idle
// connections.
type Bounds struct {
	BodyBytes      int64         // largest request body when the team's settings give no limit
	KeyBytes       int           // longest Idempotency-Key
	BodyTime       time.Duration // for reading the whole body
	WriteTime      time.Duration // for one write to a slow caller
	StartupTimeout time.Duration // for which requests wait for the settings of a daemon that has just started
	MaxAddresses   int           // in one answer of GET /v1/addresses
}

// DefaultBounds are used for the fields left zero.
var DefaultBounds = Bounds{
	BodyBytes:      4 << 20,
	KeyBytes:       256,
	BodyTime:       30 * time.Second,
	WriteTime:      10 * time.Second,
	StartupTimeout: 2 * time.Second,
	MaxAddresses:   16,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	if b.BodyBytes <= 0 {
		b.BodyBytes = d.BodyBytes
	}
	if b.KeyBytes <= 0 {
		b.KeyBytes = d.KeyBytes
	}
	if b.MaxAddresses <= 0 {
		b.MaxAddresses = d.MaxAddresses
	}
	b.BodyTime = orDefault(b.BodyTime, d.BodyTime)
	b.WriteTime = orDefault(b.WriteTime, d.WriteTime)
	b.StartupTimeout = orDefault(b.StartupTimeout, d.StartupTimeout)
	return b
}

func orDefault(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
