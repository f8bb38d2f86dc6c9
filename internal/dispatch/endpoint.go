package dispatch

import "slices"

// Stage is the part of a model request that an endpoint serves.
type Stage int

// The stages.
const (
	StageNone    Stage = iota // a plain service
	StagePrefill              // runs prefill for decode endpoints
	StageDecode               // generates answers, and runs prefill at a lower speed
)

// String returns the name used in logs and in keys; empty for a plain service.
func (s Stage) String() string { return [...]string{"", "prefill", "decode"}[s] }

// Incarnation identifies one run of an endpoint's process: a restart under the
// same ID loses all state of the run before.
type Incarnation struct {
	ID   string
	Born uint64 // start of the process, Unix ms; 0 if unknown
}

// Endpoint is one incarnation of an endpoint that may receive requests.
type Endpoint struct {
	ID      string
	Born    uint64 // start of the process, Unix ms; 0 if unknown
	Service string
	Address string
	Zone    string
	Stage   Stage
	Slots   int
	Models  []string
	// Software is the version of the software that the process runs.
	Software string
}

// Incarnation returns the identity of the run of the process that e stands for.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// HasModel reports whether the endpoint serves a model; one that lists no models
// is assumed to serve all.
func (e *Endpoint) HasModel(name string) bool {
	return name == "" || len(e.Models) == 0 || slices.Contains(e.Models, name)
}

// Work is the size of one attempt at an endpoint.
type Work struct {
	PromptTokens int // tokens to prefill there
	MemoryTokens int // maximum number of tokens held in its memory
}
