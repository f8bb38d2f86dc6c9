// Package entry serves callers over HTTP: it identifies the team by its key,
// limits and decodes requests, hands them to package route, and writes the
// complete answer or an error.
package entry
