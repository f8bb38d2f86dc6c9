// Package fleet holds the value types that every other package speaks of:
// instances, endpoints, teams, availability zones, views and the rendezvous
// ranking over them. It has no I/O and imports no other package of the
// project but pb.
package fleet
