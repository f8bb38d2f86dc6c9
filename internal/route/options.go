package route

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/quarantine"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options are the dependencies and settings of a Router. All interfaces are required, except where a
// field says otherwise.
type Options struct {
	Source   membership.Source
	Follower endpoint.Follower
	Engine   engine.Client
	Ledger   outcome.Ledger
	Guard    quarantine.Guard
	// Parts knows the parts of prompts that crash engines. nil: they aren't tracked.
	Parts     suspect.PartFindings
	Admission admission.Controller
	// Budget bounds the fleet's arrivals beyond the first at each pool.
	Budget *retrybudget.Budget
	// Policies returns the choices that the settings name. After an error the
	// previous policies stay in force.
	Policies func(settings.Decisions) (Policies, error)
	Recorder timeline.Recorder
	// Prefill and Links are updated from the engines' replies and may be shared with
	// the choices. nil: the router creates its own.
	Prefill *schedule.PrefillPredictor
	Links   *schedule.LinkTable
	// PrefixHashes returns the hashes of a prompt's blocks, computed as the engines do.
	// nil: no cache affinity.
	PrefixHashes func(model engineapi.ModelRef, prompt string) []uint64
	Secret       []byte // key of the hashes of request keys and fingerprints; the same in the whole fleet
	Seed         uint64 // seed of the random source of the choices
	Logger       logging.Part
	Registerer   prometheus.Registerer // nil: no metrics
	Bounds       Bounds                // zero fields take the values of DefaultBounds
}

// Policies are the scheduling choices in force.
type Policies struct {
	Prefill schedule.ChoicePolicy
	Decode  schedule.ChoicePolicy
	Plain   schedule.ChoicePolicy
	Start   schedule.StartPolicy
}
