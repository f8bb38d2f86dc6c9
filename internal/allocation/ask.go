package allocation

import (
	"slices"
	"time"
)

// Endpoint is a model endpoint that takes work.
type Endpoint struct {
	ID     string
	Zone   string
	Slots  int
	Reads  bool // reads prompts for others; else it generates
	Models []string
}

// Ask is what a request needs.
type Ask struct {
	Exchange       string
	Entry          string // that asks
	Model          string // empty for any
	Zone           string // of the entry
	Prompt, Output int    // tokens
	Capacity       int    // tokens that an endpoint holds
	Length         time.Duration
	Reading        time.Duration // that a reader takes for the prompt; 0 for none
	LongestBacklog time.Duration // of a reader that may take it
	ReadsOwn       bool          // the prompt may be read where the answer is generated
	Excluded       []string
}

// Grant is a place. The zero Grant is none.
type Grant struct {
	Endpoint string
	Reader   string        // empty where no reader reads the prompt
	Backlog  time.Duration // of the reader before this prompt
}

// Room is what an account knows of the room for a request, for those who ask why
// there was none.
type Room struct {
	Among    int // endpoints that could generate the answer, full or not
	MostFree int // tokens at the emptiest of them
}

// fits tells whether a request may go there, room aside.
func (e *Endpoint) fits(ask Ask) bool {
	if ask.Model != "" && len(e.Models) > 0 && !slices.Contains(e.Models, ask.Model) {
		return false
	}
	return !slices.Contains(ask.Excluded, e.ID)
}
