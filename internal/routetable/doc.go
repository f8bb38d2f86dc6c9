// Package routetable holds the configuration of a fleet that routes opaque
// exchanges: which host and path lead to which service, what may be repeated,
// and what the services' endpoints can do. A Document is checked whole and
// compiled once into an immutable Table.
package routetable
