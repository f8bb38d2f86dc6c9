// Package schedule chooses prefill and decode endpoints and the moment at
// which a prefill may start. Each decision is a small type behind one
// interface, pure, and chosen by settings.Decisions. Pure: no I/O, no clock.
package schedule
