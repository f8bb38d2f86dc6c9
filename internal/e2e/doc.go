// Package e2e holds end-to-end tests only. They run real daemon processes on
// loopback, kill and freeze them and cut the links between them. Emulated
// endpoints in the test process record what actually ran. Each daemon has its own
// loopback IP address, and every call to another daemon passes a forwarder that
// identifies caller and callee by these addresses.
package e2e
