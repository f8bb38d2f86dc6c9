package connguard

// Phase is what a connection waits for.
type Phase int

// The phases, in the order in which requests precede each other where there is no room for all.
const (
	// Idle: the next request.
	Idle Phase = iota
	// Head: the rest of a request's head.
	Head
	// Body: the rest of a request's body.
	Body
	// Serving: this process.
	Serving
)

// String returns the name used in logs and metrics.
func (p Phase) String() string { return [...]string{"idle", "head", "body", "serving"}[p] }

// isReceiving reports whether a part of a request is still to come.
func (p Phase) isReceiving() bool { return p == Head || p == Body }
