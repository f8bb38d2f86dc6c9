package schedule

import (
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Names of the policies in settings.Decisions. NameDefault selects the default
// policy of the decision.
const (
	NameDefault           = ""
	NameLeastWait         = "least-wait"
	NameSampledWait       = "sampled-wait"
	NameTwoChoices        = "two-choices"
	NameRoundRobin        = "round-robin"
	NameLeastReportedLoad = "least-reported-load"
	NamePredictedRoom     = "predicted-room"
	NamePrefillFirst      = "prefill-first"
	NameReserveFirst      = "reserve-first"
)

// ChoiceOptions holds the predictors that a policy may use besides the
// candidates. Zero fields get defaults.
type ChoiceOptions struct {
	Prefill *PrefillPredictor
	Links   LinkCost
}

func (o ChoiceOptions) withDefaults() ChoiceOptions {
	if o.Prefill == nil {
		o.Prefill = NewPrefillPredictor()
	}
	if o.Links == nil {
		o.Links = FlatLinkCost{}
	}
	return o
}

// ChoiceByName returns the policy called name for work of a kind (RolePrefill,
// RoleDecode or RolePlain) with default options. The error is a BadParameter.
func ChoiceByName(kind fleet.EndpointRole, name string) (ChoicePolicy, error) {
	return NewChoice(kind, name, ChoiceOptions{})
}

// NewChoice is ChoiceByName with options. The policy is safe for concurrent use
// if each caller passes its own random source.
func NewChoice(kind fleet.EndpointRole, name string, options ChoiceOptions) (ChoicePolicy, error) {
	options = options.withDefaults()
	if name == NameDefault {
		name = defaultChoice(kind)
	}
	switch name {
	case NameLeastWait:
		return newLeastWait(kind, maxScan, options), nil
	case NameSampledWait:
		return newLeastWait(kind, sampleSize, options), nil
	case NameTwoChoices:
		return twoChoices{kind: kind, links: options.Links}, nil
	case NameRoundRobin:
		return &roundRobin{}, nil
	case NameLeastReportedLoad:
		return leastReportedLoad{}, nil
	}
	return nil, trace.BadParameter("no choice policy %q", name)
}

func defaultChoice(kind fleet.EndpointRole) string {
	if kind == fleet.RolePrefill {
		return NameSampledWait
	}
	return NameTwoChoices
}

// StartByName returns the StartPolicy called name. The error is a
// BadParameter.
func StartByName(name string) (StartPolicy, error) {
	switch name {
	case NamePredictedRoom, NameDefault:
		return predictedRoom{}, nil
	case NamePrefillFirst:
		return prefillFirst{}, nil
	case NameReserveFirst:
		return reserveFirst{}, nil
	}
	return nil, trace.BadParameter("no start policy %q", name)
}
