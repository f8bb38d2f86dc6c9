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
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options are the parts that a Router works with; all interfaces are required.
type Options struct {
	Source    membership.Source
	Follower  endpoint.Follower
	Engine    engine.Client
	Ledger    outcome.Ledger
	Guard     quarantine.Guard
	Admission admission.Controller
	// Budget bounds the fleet's arrivals beyond the first at each pool.
	Budget *retrybudget.Budget
	// Policies gives the choices that the settings name; an error leaves the
	// last good ones in force.
	Policies func(settings.Decisions) (Policies, error)
	Recorder timeline.Recorder
	// Prefill and Links are learned from what engines answer; the choices may
	// share them. nil: the router's own.
	Prefill *schedule.PrefillPredictor
	Links   *schedule.LinkTable
	// Prefixes hashes a prompt's blocks as engines do; nil: no cache affinity.
	Prefixes   func(model engineapi.ModelRef, prompt string) []uint64
	Secret     []byte // keys the hashes of request keys and fingerprints; equal over the fleet
	Seed       uint64 // seeds the choices' random source
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
	Bounds     Bounds                // zero fields take DefaultBounds
}

// Policies are the choices in force.
type Policies struct {
	Prefill schedule.Choice
	Decode  schedule.Choice
	Plain   schedule.Choice
	Start   schedule.Start
}
