package route

import "time"

// Bounds limits what one request may use at an entry.
type Bounds struct {
	MaxAttempts          int           // attempts per request, including the first
	DefaultPatience      time.Duration // if neither caller nor settings state one
	MaxPatience          time.Duration // upper limit of the caller's own patience
	MaxRequestDuration   time.Duration // maximum duration of a request
	DefaultOutputTokens  int           // if the caller sets no max_tokens
	MaxReplayBytes       int           // output text kept for repeats that join a running request
	MaxCallResponseBytes int64         // response body of a plain service
	DefaultCallTimeout   time.Duration // if the service's settings have none
	MaxKeyGenerations    int           // runs under one key, one after another
	LedgerTimeout        time.Duration // for a claim
	FinishTimeout        time.Duration // for recording an outcome
	MaxRunningRequests   int           // requests in flight at this entry
}

// DefaultBounds are the values used for fields of Bounds that are zero.
var DefaultBounds = Bounds{
	MaxAttempts:          4,
	DefaultPatience:      10 * time.Second,
	MaxPatience:          10 * time.Minute,
	MaxRequestDuration:   15 * time.Minute,
	DefaultOutputTokens:  256,
	MaxReplayBytes:       1 << 20,
	MaxCallResponseBytes: 8 << 20,
	DefaultCallTimeout:   30 * time.Second,
	MaxKeyGenerations:    8,
	LedgerTimeout:        time.Second,
	FinishTimeout:        200 * time.Millisecond,
	MaxRunningRequests:   10000,
}

func (b Bounds) withDefaults() Bounds {
	d := DefaultBounds
	b.MaxAttempts = intOrDefault(b.MaxAttempts, d.MaxAttempts)
	b.DefaultPatience = durationOrDefault(b.DefaultPatience, d.DefaultPatience)
	b.MaxPatience = durationOrDefault(b.MaxPatience, d.MaxPatience)
	b.MaxRequestDuration = durationOrDefault(b.MaxRequestDuration, d.MaxRequestDuration)
	b.DefaultOutputTokens = intOrDefault(b.DefaultOutputTokens, d.DefaultOutputTokens)
	b.MaxReplayBytes = intOrDefault(b.MaxReplayBytes, d.MaxReplayBytes)
	if b.MaxCallResponseBytes <= 0 {
		b.MaxCallResponseBytes = d.MaxCallResponseBytes
	}
	b.DefaultCallTimeout = durationOrDefault(b.DefaultCallTimeout, d.DefaultCallTimeout)
	b.MaxKeyGenerations = intOrDefault(b.MaxKeyGenerations, d.MaxKeyGenerations)
	b.LedgerTimeout = durationOrDefault(b.LedgerTimeout, d.LedgerTimeout)
	b.FinishTimeout = durationOrDefault(b.FinishTimeout, d.FinishTimeout)
	b.MaxRunningRequests = intOrDefault(b.MaxRunningRequests, d.MaxRunningRequests)
	return b
}

func intOrDefault(v, fallback int) int {
	if v <= 0 {
		return fallback
	}
	return v
}

func durationOrDefault(v, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return v
}
