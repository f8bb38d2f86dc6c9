package allocation

// Fleet is a Server's view of the fleet.
type Fleet interface {
	// ModelEndpoints returns the endpoints of a service that accept requests.
	ModelEndpoints(service string) []Endpoint
	// HasEntry reports whether an incarnation of an entry is known.
	HasEntry(id string) bool
}
