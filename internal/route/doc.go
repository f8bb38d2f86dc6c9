// Package route runs a request's life at an entry: admission, the ledger's
// claim, quarantine, grants, prefill, KV transfer, decode with resumption, and
// the release of all that was held, whatever happens. Decisions are pure
// functions and small types; the rest is a thin shell around the interfaces
// of endpoint, engine, outcome, quarantine, admission and schedule.
//
// Lock order: Router.admissionMu, Router.randomMu, calls.mu, drain.mu and
// broadcast.mu are leaves; none is held while another is taken or while any
// interface that does I/O is called.
package route
