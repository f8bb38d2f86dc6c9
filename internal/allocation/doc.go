// Package allocation gives out places at model endpoints for a whole fleet of
// entries. One control instance, the home of a service, keeps account of which
// request holds how much memory at which endpoint and how long each reader of
// prompts is busy; entries ask it where a request goes.
//
// The account is advice. An endpoint's own word on its memory is final, a home
// that can't be reached is passed over, and an entry without one asks endpoints
// by itself. Two homes at once, or one that knows nothing yet, cost questions
// to endpoints that are full, and never a promise.
//
// Account is pure: the time and what is known go in. Server and Client are the
// shells. Locks: Client.mu is a leaf. Server.mu is held while the Fleet is asked for
// entries, whose lock is a leaf.
package allocation
