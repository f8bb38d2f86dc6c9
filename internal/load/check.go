package load

import "github.com/gravitational/trace"

const (
	maxMixTokens  = 1 << 20
	maxRatePerSec = 100_000
)

func (e Experiment) check() error {
	if e.Name == "" {
		return trace.BadParameter("the experiment has no name")
	}
	if len(e.Streams) == 0 {
		return trace.BadParameter("the experiment has no streams")
	}
	seen := map[string]bool{}
	for _, s := range e.Streams {
		if s.Name == "" || seen[s.Name] {
			return trace.BadParameter("each stream needs a name of its own, %q", s.Name)
		}
		seen[s.Name] = true
		if err := s.check(e.Capacity); err != nil {
			return trace.Wrap(err, "stream %q", s.Name)
		}
	}
	return nil
}

func (s Stream) check(c Capacity) error {
	if (s.Model == "") == (s.Service == "") {
		return trace.BadParameter("exactly one of model and service is needed")
	}
	if (s.Rate > 0) == (s.Load > 0) {
		return trace.BadParameter("exactly one of rate and load is needed")
	}
	if s.Rate > maxRatePerSec {
		return trace.BadParameter("rate is above %d", maxRatePerSec)
	}
	if s.Load > 0 && (s.Model == "" || !c.isSet()) {
		return trace.BadParameter("load needs a model and the experiment's capacity")
	}
	if s.Path[0] != '/' {
		return trace.BadParameter("path must begin with /")
	}
	if err := s.Arrivals.check(); err != nil {
		return err
	}
	if s.Model == "" {
		return s.BodyBytes.check("body_bytes")
	}
	if err := s.PromptTokens.check("prompt_tokens"); err != nil {
		return err
	}
	return s.OutputTokens.check("output_tokens")
}

// checkDirect checks that direct streams have endpoints or engines to call.
func (e Experiment) checkDirect() error {
	for _, s := range e.Streams {
		switch {
		case s.Direct && s.Model != "" && len(e.Engines) == 0:
			return trace.BadParameter("stream %q is direct but no engines are given", s.Name)
		case s.Direct && s.Model == "" && len(e.Direct) == 0:
			return trace.BadParameter("stream %q is direct but no endpoints are given", s.Name)
		}
	}
	return nil
}

func (m Mix) check(field string) error {
	if len(m) == 0 {
		return trace.BadParameter("%s is missing", field)
	}
	for _, part := range m {
		if part.Weight <= 0 || part.From < 0 || part.To < part.From || part.To > maxMixTokens {
			return trace.BadParameter("%s: weight above 0 and 0 <= from <= to are needed", field)
		}
	}
	return nil
}

func (a Arrivals) check() error {
	switch a.Pattern {
	case PatternPoisson, PatternUniform:
		return nil
	case PatternBursty:
		if a.Burst <= 1 || a.On <= 0 || a.Off <= 0 {
			return trace.BadParameter("bursty arrivals need burst above 1, on and off")
		}
		if a.Burst*a.On.Seconds() > (a.On + a.Off).Seconds() {
			return trace.BadParameter("bursty arrivals: burst times on must not exceed on and off together")
		}
		return nil
	}
	return trace.BadParameter("no arrival pattern %q", a.Pattern)
}
