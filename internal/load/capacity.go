package load

import "time"

// Capacity describes the emulated engines behind the entries. The requests per
// second that they can complete are computed from it.
type Capacity struct {
	PrefillEngines int           `yaml:"prefill_engines"`
	PrefillBase    time.Duration `yaml:"prefill_base"`  // fixed part of each prefill
	PrefillToken   time.Duration `yaml:"prefill_token"` // for each uncached prompt token
	CacheHits      float64       `yaml:"cache_hits"`    // share of preamble tokens found cached
	DecodeEngines  int           `yaml:"decode_engines"`
	Slots          int           `yaml:"slots"` // of each decode engine
	StepBase       time.Duration `yaml:"step_base"`
	StepPerRequest time.Duration `yaml:"step_per_request"`
	Transfer       time.Duration `yaml:"transfer"` // slot time before the first token
}

func (c Capacity) isSet() bool {
	return c.PrefillEngines > 0 && c.DecodeEngines > 0 && c.Slots > 0 && c.StepBase+c.StepPerRequest > 0
}

// prefillPerSec returns the requests of a stream that the prefill engines can
// process per second.
func (c Capacity) prefillPerSec(s Stream) float64 {
	uncached := s.PromptTokens.mean() + float64(s.Preamble.Tokens)*s.Preamble.Share*(1-c.CacheHits)
	each := c.PrefillBase.Seconds() + uncached*c.PrefillToken.Seconds()
	return float64(c.PrefillEngines) / each
}

// decodePerSec returns the requests of a stream that the decode engines can
// complete per second with all slots in use.
func (c Capacity) decodePerSec(s Stream) float64 {
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerRequest
	each := c.Transfer.Seconds() + s.OutputTokens.mean()*step.Seconds()
	return float64(c.DecodeEngines*c.Slots) / each
}

// requestsPerSec returns the requests of one stream that could be completed per
// second if no other stream used the engines.
func (c Capacity) requestsPerSec(s Stream) float64 {
	return min(c.prefillPerSec(s), c.decodePerSec(s))
}

// rate returns the stream's mean arrivals per second.
func (e Experiment) rate(s Stream) float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	return s.Load * e.Capacity.requestsPerSec(s)
}

// offeredShare returns the load of all model streams together as a share of the
// capacity; 0 when the capacity isn't set.
func (e Experiment) offeredShare() float64 {
	if !e.Capacity.isSet() {
		return 0
	}
	prefill, decode := 0.0, 0.0
	for _, s := range e.Streams {
		if s.Model == "" {
			continue
		}
		prefill += e.rate(s) / e.Capacity.prefillPerSec(s)
		decode += e.rate(s) / e.Capacity.decodePerSec(s)
	}
	return max(prefill, decode)
}
