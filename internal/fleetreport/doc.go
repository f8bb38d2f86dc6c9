// Package fleetreport writes a page on a fleet of the platform from the logs of its processes:
// which process holds which configuration, how many exchanges end in which way, and why they are
// refused, over time.
//
// Times are those of each process's own clock. Apart from reading its input and writing the page it
// has no side effects.
package fleetreport
