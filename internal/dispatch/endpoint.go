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

// Endpoint is one incarnation of an endpoint that may get work.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Zone    string
	Stage   Stage
	Slots   int
	Models  []string
}

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
