// Package schedule chooses prefill and decode endpoints and the time at which
// a prefill may start. Each decision is a policy behind an interface, selected
// by name in settings.Decisions. Policies do no I/O and read no clock.
package schedule
