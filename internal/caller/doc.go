// Package caller is a small client of the callers' interface. It asks which entries to
// use, caches the answer for as long as it permits, and sends requests to those entries.
// The command-line tool uses it; it shows how callers should behave.
package caller
