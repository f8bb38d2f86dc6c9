// Package endpoint is both sides of endpoint homes: the home, which keeps an
// endpoint's lease, grants its slots exactly, sweeps holds without owner and
// follows its cache events; and the follower, which knows a bounded set of
// endpoints by digest and asks their homes for grants.
package endpoint
