package standin

import (
	"cmp"
	"time"
)

// Timing configures durations, rates and sizes of an emulated engine. A zero field
// takes DefaultTiming's value.
type Timing struct {
	StepBase           time.Duration // fixed part of one batch step
	StepPerRequest     time.Duration // added for each request in the batch
	PrefillBase        time.Duration // fixed part of one prefill
	PrefillPerToken    time.Duration // added for each prompt token not cached
	PrefillSlice       time.Duration // most prefill work in one step
	KVLifetime         time.Duration // until an exported KV cache expires
	KVBytesPerToken    int64         // bytes of KV cache for each token
	LinkBytesPerSecond int64         // KV bytes a second in each direction, shared by all transfers
	KVBytesPerWireByte int64         // KV bytes that one sent byte stands for
	TransferTimeout    time.Duration // an import that takes longer fails
	ModelLoadTime      time.Duration // to load a model or change role
	LoadReportDelay    time.Duration // age of reported load
	CacheEventInterval time.Duration // wait before cache events are sent
	PrefixCacheBytes   int64         // capacity of the prefix cache
	CallDuration       time.Duration // one plain call
	LeaveGrace         time.Duration // from a daemon's confirmation of a leave until Leave may return
}

// DefaultTiming returns a timing with 30 ms between tokens at 20 requests and a
// prefill of 500 ms for 2000 tokens.
func DefaultTiming() Timing {
	return Timing{
		StepBase:           10 * time.Millisecond,
		StepPerRequest:     time.Millisecond,
		PrefillBase:        100 * time.Millisecond,
		PrefillPerToken:    200 * time.Microsecond,
		PrefillSlice:       10 * time.Millisecond,
		KVLifetime:         800 * time.Millisecond,
		KVBytesPerToken:    128 << 10,
		LinkBytesPerSecond: 1250 << 20,
		KVBytesPerWireByte: 1024,
		TransferTimeout:    5 * time.Second,
		ModelLoadTime:      2 * time.Second,
		LoadReportDelay:    time.Second,
		CacheEventInterval: 200 * time.Millisecond,
		PrefixCacheBytes:   8 << 30,
		CallDuration:       5 * time.Millisecond,
		LeaveGrace:         3 * time.Second,
	}
}

func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	t.StepBase = cmp.Or(t.StepBase, d.StepBase)
	t.StepPerRequest = cmp.Or(t.StepPerRequest, d.StepPerRequest)
	t.PrefillBase = cmp.Or(t.PrefillBase, d.PrefillBase)
	t.PrefillPerToken = cmp.Or(t.PrefillPerToken, d.PrefillPerToken)
	t.PrefillSlice = cmp.Or(t.PrefillSlice, d.PrefillSlice)
	t.KVLifetime = cmp.Or(t.KVLifetime, d.KVLifetime)
	t.KVBytesPerToken = cmp.Or(t.KVBytesPerToken, d.KVBytesPerToken)
	t.LinkBytesPerSecond = cmp.Or(t.LinkBytesPerSecond, d.LinkBytesPerSecond)
	t.KVBytesPerWireByte = cmp.Or(t.KVBytesPerWireByte, d.KVBytesPerWireByte)
	t.TransferTimeout = cmp.Or(t.TransferTimeout, d.TransferTimeout)
	t.ModelLoadTime = cmp.Or(t.ModelLoadTime, d.ModelLoadTime)
	t.LoadReportDelay = cmp.Or(t.LoadReportDelay, d.LoadReportDelay)
	t.CacheEventInterval = cmp.Or(t.CacheEventInterval, d.CacheEventInterval)
	t.PrefixCacheBytes = cmp.Or(t.PrefixCacheBytes, d.PrefixCacheBytes)
	t.CallDuration = cmp.Or(t.CallDuration, d.CallDuration)
	t.LeaveGrace = cmp.Or(t.LeaveGrace, d.LeaveGrace)
	return t
}

// step returns the duration of one step with the given number of requests.
func (t Timing) step(batch int) time.Duration {
	return t.StepBase + time.Duration(batch)*t.StepPerRequest
}

// prefill returns the engine time to compute the given number of tokens.
func (t Timing) prefill(tokens int) time.Duration {
	return t.PrefillBase + time.Duration(tokens)*t.PrefillPerToken
}
