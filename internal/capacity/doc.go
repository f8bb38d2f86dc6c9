// Command capacity measures how the cost of hyssopsail's control plane grows with
// the numbers of daemons, endpoints, teams, changes and requests. It runs real
// daemons on the loopback interface of one machine and prints the inputs of
// docs/CAPACITY.md.
//
// It starts all processes that it measures and stops them by PID. It is run by
// scripts/capacity and is not shipped.
package main
