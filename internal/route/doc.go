// Package route runs requests at an entry: admission, the claim at the ledger,
// quarantine, grants, prefill, KV transfer, decode with resumption, and the
// release of everything that a request holds, however it ends. Decisions are
// pure functions and small types around the interfaces of endpoint, engine,
// outcome, quarantine, admission and schedule.
//
// Lock order: Router.admissionMu, Router.randomMu, sharedRequests.mu,
// inFlightRequests.mu, lastSeenTimes.mu, cooldowns.mu and broadcast.mu are leaves:
// while one of them is held, no other lock is taken and no interface that does I/O
// is called.
package route
