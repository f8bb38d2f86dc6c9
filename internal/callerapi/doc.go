// Package callerapi is the HTTP and JSON contract with callers: headers,
// outcomes, the error form, address answers and the common completions format.
package callerapi
