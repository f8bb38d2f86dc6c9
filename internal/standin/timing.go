package standin

import (
	"cmp"
	"time"
)

// Timing holds the figures of an emulated engine. A zero field takes
// DefaultTiming's value.
type Timing struct {
	StepBase       time.Duration // one step of the batch, however small
	StepPerRequest time.Duration // added for each request in the batch
	PrefillBase    time.Duration // one prefill, however short
	PrefillToken   time.Duration // added for each prompt token not cached
	PrefillSlice   time.Duration // prefill work in one step
	KVLife         time.Duration // of an exported KV cache
	KVToken        int64         // bytes of KV cache for each token
	LinkRate       int64         // KV bytes a second, each way; shared by transfers
	WireScale      int64         // KV bytes for one byte on the wire
	TransferBound  time.Duration // an import that takes longer fails
	LoadTime       time.Duration // to load a model or change role
	LoadLag        time.Duration // age of reported load
	CacheLag       time.Duration // wait before cache events are sent
	CacheBytes     int64         // prefix cache
	CallTime       time.Duration // one plain call
	LeaveGrace     time.Duration // still serving after leave was announced
}

// DefaultTiming gives a token time of 30 ms at 20 requests and a prefill of
// 500 ms for 2000 tokens.
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

// step gives the time of one step with so many requests in the batch.
func (t Timing) step(batch int) time.Duration {
	return t.StepBase + time.Duration(batch)*t.StepPerRequest
}

// prefill gives the work of computing so many tokens.
func (t Timing) prefill(tokens int) time.Duration {
	return t.PrefillBase + time.Duration(tokens)*t.PrefillToken
}
