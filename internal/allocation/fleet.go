package allocation

// Fleet is what a Server knows of the fleet.
type Fleet interface {
	// ModelEndpoints lists the endpoints of a service that take work.
	ModelEndpoints(service string) []Endpoint
	// HasEntry tells whether an incarnation of an entry is known.
	HasEntry(id string) bool
}
