// Package fleet defines the value types that the other packages share:
// instances, endpoints, teams, availability zones, views and their rendezvous
// ranking. It has no I/O and imports no other package of the project except pb.
package fleet
