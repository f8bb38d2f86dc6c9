// Package entry serves callers over HTTP: it knows the team by its key, bounds
// and decodes what it is sent, hands the request to package route, and writes
// the answer whole or says that it failed.
package entry
