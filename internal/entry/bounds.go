package entry

import "time"

// Bounds limit what one caller may use. The HTTP server limits headers and idle
// connections.
type Bounds struct {
	MaxBodyBytes    int64         // largest request body when the team's settings give no limit
	MaxKeyBytes     int           // longest Idempotency-Key
	BodyReadTimeout time.Duration // for reading the whole body
	WriteTimeout    time.Duration // for one write to a slow caller
	StartupTimeout  time.Duration // for which requests wait for the settings of a daemon that has just started
	MaxAddresses    int           // in one answer of GET /v1/addresses
}

// DefaultBounds are used for the fields left zero.
var DefaultBounds = Bounds{
	MaxBodyBytes:    4 << 20,
	MaxKeyBytes:     256,
	BodyReadTimeout: 30 * time.Second,
	WriteTimeout:    10 * time.Second,
	StartupTimeout:  2 * time.Second,
	MaxAddresses:    16,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	if b.MaxBodyBytes <= 0 {
		b.MaxBodyBytes = d.MaxBodyBytes
	}
	if b.MaxKeyBytes <= 0 {
		b.MaxKeyBytes = d.MaxKeyBytes
	}
	if b.MaxAddresses <= 0 {
		b.MaxAddresses = d.MaxAddresses
	}
	b.BodyReadTimeout = orDefault(b.BodyReadTimeout, d.BodyReadTimeout)
	b.WriteTimeout = orDefault(b.WriteTimeout, d.WriteTimeout)
	b.StartupTimeout = orDefault(b.StartupTimeout, d.StartupTimeout)
	return b
}

func orDefault(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
