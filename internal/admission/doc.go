// Package admission decides at once whether a request is taken: by its team's
// limits and fair share, by predicted wait against the caller's patience, and
// by retry budgets. A refusal says when to come back. Pure: no I/O, no clock.
package admission
