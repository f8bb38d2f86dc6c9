// Package routetable holds the routing configuration of a fleet that routes opaque exchanges:
// which host and path belong to which service, which exchanges may be retried, and what the
// endpoints of the services can do. A Document is checked as a whole and compiled once into
// an immutable Table.
package routetable
