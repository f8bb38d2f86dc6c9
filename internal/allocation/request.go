package allocation

import (
	"slices"
	"time"
)

// Endpoint is a model endpoint that accepts requests.
type Endpoint struct {
	ID        string
	Zone      string
	Slots     int
	IsPrefill bool // prefill endpoint; otherwise a decode endpoint
	Models    []string
	Software  string // version
}

// ReservationRequest is what a request needs.
type ReservationRequest struct {
	Exchange                   string
	Entry                      string  // ID of the requesting entry
	Model                      string  // empty for any
	Software                   *string // version that the endpoint must run; nil for any
	Zone                       string  // of the entry
	PromptTokens, OutputTokens int     // tokens
	CapacityTokens             int     // tokens that an endpoint can hold
	AnswerDuration             time.Duration
	PrefillDuration            time.Duration // of the prompt's prefill alone; 0 for no prefill
	MaxBacklog                 time.Duration // maximum wait at a prefill endpoint
	AllowLocalPrefill          bool          // the decode endpoint may prefill the prompt itself
	Excluded                   []string      // IDs of endpoints
	// Stream identifies the stream that the request begins or continues, as it is recorded; 0 for none.
	Stream   uint64
	Resumes  bool          // its caller has a part of the stream, by its record
	Patience time.Duration // until the caller leaves; 0 if unknown
}

// Placement is the choice of endpoints for a request. The zero Placement means that there is no
// capacity.
type Placement struct {
	Endpoint        string
	PrefillEndpoint string        // prefill endpoint; empty if none is to prefill the prompt
	PrefillBacklog  time.Duration // wait of the prompt there
}

// FreeCapacity is the free memory for a request, to explain why it got no reservation.
type FreeCapacity struct {
	Candidates    int // endpoints that could generate the answer, full or not
	MaxFreeTokens int // free tokens at the emptiest of them
}

// canServe reports whether the endpoint may serve a request, regardless of free capacity.
func (e *Endpoint) canServe(request ReservationRequest) bool {
	if request.Model != "" && len(e.Models) > 0 && !slices.Contains(e.Models, request.Model) {
		return false
	}
	if request.Software != nil && *request.Software != e.Software {
		return false
	}
	return !slices.Contains(request.Excluded, e.ID)
}
