package retrybudget

import (
	"sync"
	"time"
)

// usableFraction is the fraction of the limit that is used. The rest covers differences in
// timing: callers count a request when they send it and endpoints an arrival when they read
// it, both slightly before or after the entry records them.
const usableFraction = 0.8

// Budget is one entry's part of the fleet's limit. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu       sync.Mutex // guards the fields below
	share    slackShare
	services map[string]*usage
}

// New returns the budget of a process that starts at now.
func New(now time.Time, limits Limits) *Budget {
	return &Budget{
		limits: limits, services: map[string]*usage{},
		share: slackShare{window: limits.Window, startedAt: now},
	}
}

// SetEntries sets how many entries may send, as just reported by a control instance with which
// this entry is in contact.
func (b *Budget) SetEntries(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share.report(now, n)
	b.dropIdleServices(now)
}

// dropIdleServices drops the counts of services whose buckets are all out of date, since
// services come and go with the configuration. The caller holds b.mu.
func (b *Budget) dropIdleServices(now time.Time) {
	oldestBucket := b.bucketAt(now) - bucketsKept
	for name, u := range b.services {
		if u.newestBucket < oldestBucket && u.reserved == 0 {
			delete(b.services, name)
		}
	}
}

// bucketAt returns the number of the bucket that contains now.
func (b *Budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(b.share.startedAt) / (b.limits.Window / bucketsPerWindow))
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usageAt(now, service).addRequest()
}

// Reserve takes a reservation for one extra arrival. It returns nil if none is left.
func (b *Budget) Reserve(now time.Time, service string) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usageAt(now, service)
	if b.remaining(now, u) < 1 {
		return nil
	}
	u.reserved++
	return &Reservation{budget: b, service: service}
}

// Remaining returns how many more extra arrivals of a service are allowed now.
func (b *Budget) Remaining(now time.Time, service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, b.usageAt(now, service))
}

// SlackShare returns this entry's current fraction of the slack, from 0 to 1.
func (b *Budget) SlackShare(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.fraction(now)
}

// remaining is Remaining for the counts of a service. The caller holds b.mu.
func (b *Budget) remaining(now time.Time, u *usage) float64 {
	return u.remaining(usableFraction*b.limits.Ratio, usableFraction*b.limits.Slack*b.share.fraction(now))
}

// usageAt returns the counts of a service, advanced to now. The caller holds b.mu.
func (b *Budget) usageAt(now time.Time, service string) *usage {
	bucket := b.bucketAt(now)
	u := b.services[service]
	if u == nil {
		u = &usage{newestBucket: bucket}
		b.services[service] = u
	}
	u.advance(bucket)
	return u
}
