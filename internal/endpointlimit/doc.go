// Package endpointlimit keeps the limits that endpoints name: how many requests a second
// one takes from all entries together, for as long as its answers say so.
package endpointlimit
