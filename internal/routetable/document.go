package routetable

import "time"

// Document is a complete configuration, with the version that its operator gave it.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Teams hold the keys that callers present; nil: callers need no key.
	Teams  []Team
	Limits Limits
}

// Kind determines whether an exchange may be retried.
type Kind int

// Kinds of routes.
const (
	// KindAtMostOnce runs at most once for each time that the caller sends it.
	KindAtMostOnce Kind = iota
	// KindIdempotent may run more than once.
	KindIdempotent
	// KindStream answers with numbered events; it runs at most once unless
	// the route is resumable.
	KindStream
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case KindAtMostOnce:
		return "at-most-once"
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	}
	return "unknown"
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend
	// Timeout is the longest time that the operator lets a caller wait for the end of the
	// answer.
	Timeout time.Duration
	// Target is the target time for an answer, or for the first event of a stream; a later one
	// is worth less to its caller. 0 for none.
	Target time.Duration
	// MaxEventGap is the longest pause between events of a stream that meets its target.
	MaxEventGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of endpoints on which one exchange may run.
	MaxAttempts int
	// Resumable streams may be continued at another endpoint after a given event.
	Resumable bool
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Source is the text from which the route was decoded; empty if the document keeps none.
	Source string
}

// RoutesBySource returns the routes of a document, which may be nil, by their source text.
func (d *Document) RoutesBySource() map[string]*Route {
	if d == nil {
		return nil
	}
	return indexBySource(d.Routes, func(r *Route) string { return r.Source })
}

// TeamsBySource returns the teams of a document, which may be nil, by their source text.
func (d *Document) TeamsBySource() map[string]*Team {
	if d == nil {
		return nil
	}
	return indexBySource(d.Teams, func(t *Team) string { return t.Source })
}

func indexBySource[T any](list []T, source func(*T) string) map[string]*T {
	result := make(map[string]*T, len(list))
	for i := range list {
		result[source(&list[i])] = &list[i]
	}
	return result
}

// Repeatable reports whether an exchange of this route may run again if it is unknown whether
// it has run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Backend is a service and its share of a route's exchanges.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts from all
	// entries together; 0 if unknown.
	MaxConnections int
	// Engine describes model endpoints; nil for a plain service.
	Engine *Engine
}

// Engine describes what the model endpoints of a service can do.
type Engine struct {
	Slots            int     // maximum number of requests in one batch
	KVTokens         int     // tokens that fit into the memory of one endpoint
	KVBytesPerToken  float64 // size of the KV cache
	LinkMbps         float64 // for the transfer of KV caches between endpoints
	Moves, Backups   bool
	BlockTokens      int           // tokens per memory block
	PrefillResultTTL time.Duration // how long the result of a prefill is kept
	// MaxReservationDuration is the longest time that an endpoint reserves memory for a request
	// before it arrives; 0 if endpoints don't.
	MaxReservationDuration time.Duration
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
