// Package callerapi defines the HTTP and JSON interface for callers: headers, outcomes,
// error bodies, address answers and the common completions format.
package callerapi
