package routetable

import "time"

// Document is a whole configuration under its operator's version.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Teams hold the keys that callers show; nil: callers need none.
	Teams  []Team
	Limits Limits
}

// Kind tells what of an exchange may be repeated.
type Kind int

// The kinds of a route.
const (
	// KindAtMostOnce runs at most once for each attempt of the caller.
	KindAtMostOnce Kind = iota
	// KindIdempotent may run more than once.
	KindIdempotent
	// KindStream answers with numbered events; it runs at most once unless
	// the route is resumable.
	KindStream
)

// String gives the name used in logs.
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

// Route leads a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Backends []Backend
	// Timeout is the longest that the operator lets a caller wait for the end
	// of the answer.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event of a
	// stream, is worth most to its caller; 0 for none.
	Target time.Duration
	// EventGap is the longest pause between events of a stream in target.
	EventGap time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the most endpoints on which one attempt may run.
	MaxAttempts int
	// Resumable streams may go on at another endpoint after a given event.
	Resumable bool
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Source is the text that the route was decoded from; empty where its
	// document keeps none.
	Source string
}

// RoutesBySource names the routes of a document, which may be nil, by their text.
func (d *Document) RoutesBySource() map[string]*Route {
	if d == nil {
		return nil
	}
	return bySource(d.Routes, func(r *Route) string { return r.Source })
}

// TeamsBySource names the teams of a document, which may be nil, by their text.
func (d *Document) TeamsBySource() map[string]*Team {
	if d == nil {
		return nil
	}
	return bySource(d.Teams, func(t *Team) string { return t.Source })
}

func bySource[T any](list []T, source func(*T) string) map[string]*T {
	named := make(map[string]*T, len(list))
	for i := range list {
		named[source(&list[i])] = &list[i]
	}
	return named
}

// Repeatable tells whether an exchange of this route may run again when it is
// not known whether it ran.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Backend is a service with its share of a route's exchanges.
type Backend struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that serve the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections that one endpoint takes from all
	// entries together; 0 for no bound known.
	MaxConnections int
	// Engine describes model endpoints; nil for a plain service.
	Engine *Engine
}

// Engine tells what a service's model endpoints can do.
type Engine struct {
	Slots           int     // requests in one batch
	KVTokens        int     // tokens that the memory of one endpoint holds
	KVBytesPerToken float64 // of the KV cache
	LinkMbps        float64 // for KV caches between endpoints
	Moves, Backups  bool
	Block           int           // tokens in one block of memory
	HandleLife      time.Duration // how long a prefill's result is kept
	// HoldLife is the longest that an endpoint sets memory aside for a request
	// before it comes; 0 where endpoints don't.
	HoldLife time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
