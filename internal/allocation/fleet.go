package allocation

// Fleet is a Server's view of the fleet.
type Fleet interface {
	// ModelEndpoints returns the endpoints of a service that accept requests. The list is
	// not changed; it is another one once they have changed.
	ModelEndpoints(service string) []Endpoint
	// HasEntry reports whether an incarnation of an entry is known.
	HasEntry(id string) bool
}
