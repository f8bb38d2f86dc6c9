package allocation

import (
	"slices"
	"time"
)

// Endpoint is a model endpoint that accepts requests.
type Endpoint struct {
	ID     string
	Zone   string
	Slots  int
	Reads  bool // prefill endpoint; otherwise a decode endpoint
	Models []string
}

// Ask is what a request needs.
type Ask struct {
	Exchange       string
	Entry          string // ID of the requesting entry
	Model          string // empty for any
	Zone           string // of the entry
	Prompt, Output int    // tokens
	Capacity       int    // tokens that an endpoint can hold
	Length         time.Duration
	Reading        time.Duration // of the prompt's prefill alone; 0 for no prefill
	LongestBacklog time.Duration // maximum wait at a prefill endpoint
	ReadsOwn       bool          // the decode endpoint may prefill the prompt itself
	Excluded       []string      // IDs of endpoints
}

// Grant is the choice of endpoints for a request. The zero Grant means that there is no
// capacity.
type Grant struct {
	Endpoint string
	Reader   string        // prefill endpoint; empty if none is to prefill the prompt
	Backlog  time.Duration // wait of the prompt there
}

// Room is the free memory for a request, to explain why it got no reservation.
type Room struct {
	Among    int // endpoints that could generate the answer, full or not
	MostFree int // free tokens at the emptiest of them
}

// canServe reports whether the endpoint may serve a request, regardless of free capacity.
func (e *Endpoint) canServe(request Ask) bool {
	if request.Model != "" && len(e.Models) > 0 && !slices.Contains(e.Models, request.Model) {
		return false
	}
	return !slices.Contains(request.Excluded, e.ID)
}
