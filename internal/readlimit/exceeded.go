package readlimit

import "fmt"

// Part is what of a message is read; its value is a label of metrics.
type Part string

// The parts.
const (
	Head  Part = "head"  // status line and header, interim responses before them included
	Body  Part = "body"  // whole body
	Event Part = "event" // one event of a stream
	Call  Part = "call"  // all that comes in a call between processes of the fleet
)

// Exceeded is the error of a read that met a bound. What was read is not a valid message.
type Exceeded struct {
	Peer  string // name or address
	Part  Part
	Bytes int64 // read, or announced by the peer
	Bound int64 // bytes
	// Memory reports that Bound is on what all reads hold together, or those from this peer.
	Memory bool
}

// Error implements error.
func (e *Exceeded) Error() string {
	if e.Memory {
		return fmt.Sprintf("%s: no memory for %d bytes, the bound of all reads is %d", e.Part, e.Bytes, e.Bound)
	}
	return fmt.Sprintf("%s: %d bytes, the bound is %d", e.Part, e.Bytes, e.Bound)
}
