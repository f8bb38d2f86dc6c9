// Package e2e holds tests only: real daemon processes on loopback, with real
// kills, freezes and cut links between them, and emulated endpoints in the test
// process whose own records tell what truly ran. Each daemon has a loopback IP
// number of its own, and every call to another daemon passes a forwarder that
// knows who calls whom by these numbers.
package e2e
