// Package caller is a small client of the callers' interface: it asks which
// entries to use, keeps the answer as long as it may be kept, and sends
// requests itself. The tool uses it; it shows how callers should behave.
package caller
