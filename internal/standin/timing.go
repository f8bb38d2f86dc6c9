package standin

import (
	"cmp"
	"time"
)

// Timing configures durations, rates and sizes of an emulated engine. A zero field
// takes DefaultTiming's value.
type Timing struct {
	StepBase       time.Duration // fixed part of one batch step
	StepPerRequest time.Duration // added for each request in the batch
	PrefillBase    time.Duration // fixed part of one prefill
	PrefillToken   time.Duration // added for each prompt token not cached
	PrefillSlice   time.Duration // most prefill work in one step
	KVLife         time.Duration // until an exported KV cache expires
	KVToken        int64         // bytes of KV cache for each token
	LinkRate       int64         // KV bytes a second in each direction, shared by all transfers
	WireScale      int64         // KV bytes that one sent byte stands for
	TransferBound  time.Duration // an import that takes longer fails
	LoadTime       time.Duration // to load a model or change role
	LoadLag        time.Duration // age of reported load
	CacheLag       time.Duration // wait before cache events are sent
	CacheBytes     int64         // capacity of the prefix cache
	CallTime       time.Duration // one plain call
	LeaveGrace     time.Duration // from a daemon's confirmation of a leave until Leave may return
}

// DefaultTiming returns a timing with 30 ms between tokens at 20 requests and a
// prefill of 500 ms for 2000 tokens.
func DefaultTiming() Timing {
	return Timing{
		StepBase:       10 * time.Millisecond,
		StepPerRequest: time.Millisecond,
		PrefillBase:    100 * time.Millisecond,
		PrefillToken:   200 * time.Microsecond,
		PrefillSlice:   10 * time.Millisecond,
		KVLife:         800 * time.Millisecond,
		KVToken:        128 << 10,
		LinkRate:       1250 << 20,
		WireScale:      1024,
		TransferBound:  5 * time.Second,
		LoadTime:       2 * time.Second,
		LoadLag:        time.Second,
		CacheLag:       200 * time.Millisecond,
		CacheBytes:     8 << 30,
		CallTime:       5 * time.Millisecond,
		LeaveGrace:     3 * time.Second,
	}
}

func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	t.StepBase = cmp.Or(t.StepBase, d.StepBase)
	t.StepPerRequest = cmp.Or(t.StepPerRequest, d.StepPerRequest)
	t.PrefillBase = cmp.Or(t.PrefillBase, d.PrefillBase)
	t.PrefillToken = cmp.Or(t.PrefillToken, d.PrefillToken)
	t.PrefillSlice = cmp.Or(t.PrefillSlice, d.PrefillSlice)
	t.KVLife = cmp.Or(t.KVLife, d.KVLife)
	t.KVToken = cmp.Or(t.KVToken, d.KVToken)
	t.LinkRate = cmp.Or(t.LinkRate, d.LinkRate)
	t.WireScale = cmp.Or(t.WireScale, d.WireScale)
	t.TransferBound = cmp.Or(t.TransferBound, d.TransferBound)
	t.LoadTime = cmp.Or(t.LoadTime, d.LoadTime)
	t.LoadLag = cmp.Or(t.LoadLag, d.LoadLag)
	t.CacheLag = cmp.Or(t.CacheLag, d.CacheLag)
	t.CacheBytes = cmp.Or(t.CacheBytes, d.CacheBytes)
	t.CallTime = cmp.Or(t.CallTime, d.CallTime)
	t.LeaveGrace = cmp.Or(t.LeaveGrace, d.LeaveGrace)
	return t
}

// step returns the duration of one step with the given number of requests.
func (t Timing) step(batch int) time.Duration {
	return t.StepBase + time.Duration(batch)*t.StepPerRequest
}

// prefill returns the engine time to compute the given number of tokens.
func (t Timing) prefill(tokens int) time.Duration {
	return t.PrefillBase + time.Duration(tokens)*t.PrefillToken
}
