// Command capacity measures, on one machine with real daemons on loopback, how
// the cost of hyssopsail's control grows with daemons, endpoints, teams,
// changes and requests. It prints the inputs of docs/CAPACITY.md.
//
// It starts everything that it measures and ends it by pid. It is run by
// scripts/capacity and is not shipped.
package main
