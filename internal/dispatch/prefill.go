package dispatch

import "time"

// initialPrefillTokensPerSecond is the assumed prefill speed of an endpoint until
// one was measured.
const initialPrefillTokensPerSecond = 30_000

// prefillSpeedDecay is the weight of each slower measurement in the moving maximum of
// the prefill speed. A change to slower endpoints shows after some hundred prompts.
const prefillSpeedDecay = 0.01

// prefillSpeed is the highest prefill speed measured lately: slower prompts waited.
type prefillSpeed struct{ tokensPerSecond float64 }

// RecordPrefill records that prefill of a prompt took the given time at an endpoint,
// including its wait there. The wait is the best evidence of other entries' prompts:
// their number is only reported with this entry's own answers.
func (stats *EndpointStats) RecordPrefill(now time.Time, e *Endpoint, tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	measured := float64(tokens) / took.Seconds()
	stats.mu.Lock()
	defer stats.mu.Unlock()
	speed := stats.prefillSpeeds[e.Service]
	if speed == nil {
		speed = &prefillSpeed{tokensPerSecond: initialPrefillTokensPerSecond}
		stats.prefillSpeeds[e.Service] = speed
	}
	speed.tokensPerSecond = max(measured, speed.tokensPerSecond-prefillSpeedDecay*(speed.tokensPerSecond-measured))
	s := stats.stateOf(e.Incarnation())
	s.observedWait = max(0, speed.tokensPerSecond/measured-1)
	s.waitObservedAt = now
}

// EstimatePrefillDuration returns the expected prefill duration of a prompt, including its wait.
// queued is the work ahead of it, in multiples of its own prefill duration.
func (stats *EndpointStats) EstimatePrefillDuration(service string, tokens int, queued float64) time.Duration {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	tokensPerSecond := float64(initialPrefillTokensPerSecond)
	if speed := stats.prefillSpeeds[service]; speed != nil {
		tokensPerSecond = speed.tokensPerSecond
	}
	return time.Duration((1 + queued) * float64(tokens) / tokensPerSecond * float64(time.Second))
}

// PrefillPlacement decides whether a prompt is prefilled by a prefill endpoint or by the
// decode endpoint that generates its answer.
//
// Load pattern: some prefill endpoints are lost under load, and the remaining ones
// get more prompts than they can process. Prompts that wait there miss their
// targets, while the decode endpoints, which are bound by memory, have compute to
// spare. A decode endpoint prefills at half the speed and between the tokens of the
// streams that it generates, so a long prompt would delay these streams beyond
// their maximum gap.
type PrefillPlacement struct {
	MaxEventGap time.Duration // maximum gap between events of the streams on the decode endpoint; 0 for none
	Policy      Policy
}

// PrefillMode is where a prompt is prefilled.
type PrefillMode int

// The places where a prompt is prefilled.
const (
	PrefillRemote   PrefillMode = iota // by a prefill endpoint
	PrefillLocal                       // by the decode endpoint that generates the answer
	PrefillDeferred                    // nowhere yet: the prompt has to wait
)

// String returns the name used in logs and metrics.
func (m PrefillMode) String() string { return [...]string{"reader", "own", "later"}[m] }

// The parameters of prefill placement.
const (
	// localPrefillFactor is the ratio of the prefill durations of a decode and a
	// prefill endpoint.
	localPrefillFactor = 2
	// maxRemotePrefillDuration bounds prefill at a prefill endpoint, including the
	// wait. Memory at the decode endpoint is reserved meanwhile, and in a fully
	// loaded fleet other requests lack that memory.
	maxRemotePrefillDuration = 400 * time.Millisecond
	// eventGapShare is the share of the maximum gap between events that local
	// prefill may take; the streams beside it need the rest for their own tokens.
	eventGapShare = 0.75
)

// Bounds returns the longest acceptable wait at a prefill endpoint for a prompt whose
// prefill alone takes the given time there, and whether local prefill is allowed.
func (p PrefillPlacement) Bounds(alone time.Duration) (maxBacklog time.Duration, allowLocal bool) {
	local := localPrefillFactor * alone
	return max(maxRemotePrefillDuration, local) - alone, p.allowsLocalPrefill(local)
}

func (p PrefillPlacement) allowsLocalPrefill(local time.Duration) bool {
	return p.Policy.Has(AllowLocalPrefill) && (p.MaxEventGap == 0 || local <= time.Duration(eventGapShare*float64(p.MaxEventGap)))
}

// Choose returns where a prompt is prefilled. alone is its prefill duration at a
// prefill endpoint without other prompts, total the duration including its wait.
func (p PrefillPlacement) Choose(alone, total time.Duration) PrefillMode {
	local := localPrefillFactor * alone
	if total <= max(maxRemotePrefillDuration, 2*alone) || total <= local {
		return PrefillRemote
	}
	if p.allowsLocalPrefill(local) {
		return PrefillLocal
	}
	return PrefillDeferred
}
