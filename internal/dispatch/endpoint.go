package dispatch

import "slices"

// Stage is the part of a model request that an endpoint serves.
type Stage int

// The stages.
const (
	StageNone    Stage = iota // a plain service
	StagePrefill              // reads prompts for others
	StageDecode               // generates, and reads prompts at a lower speed
)

// Incarnation names one run of an endpoint's process: it may start again under
// its ID, and then holds nothing of what it held before.
type Incarnation struct {
	ID   string
	Born uint64
}

// Endpoint is one incarnation of an endpoint that may get work.
type Endpoint struct {
	ID      string
	Born    uint64 // start of the process, Unix ms; 0 where it doesn't say
	Service string
	Address string
	Zone    string
	Stage   Stage
	Slots   int
	Models  []string
}

// Incarnation names the run of the process that the endpoint stands for.
func (e *Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// HasModel tells whether the endpoint runs a model; an endpoint that names
// none is taken to run all.
func (e *Endpoint) HasModel(name string) bool {
	return name == "" || len(e.Models) == 0 || slices.Contains(e.Models, name)
}

// Load is what an endpoint told of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Work is the size of one exchange at an endpoint.
type Work struct {
	Prompt int // tokens to be read there
	Memory int // tokens that it holds at most
}
