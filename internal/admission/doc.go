// Package admission decides whether to admit a request: by its team's limits and
// fair share, by the predicted wait against the caller's patience, and by retry
// budgets. A refusal says when to retry. It does no I/O and reads no clock.
package admission
