// Package endpointlimit enforces the rate limits that endpoints name in their answers: how
// many requests a second an endpoint accepts from all entries together, for as long as its
// answers say so.
//
// The limit of an endpoint is divided among a few control instances, its limit servers. Each
// tracks its Share in a Ledger of its own and grants permits, each for one request, to the
// entries that request them (Client, Server). Senders follow these rules:
//
//   - Client.RecordSignal records the limit signal of each answer.
//   - Before each send to an endpoint that is known to name a limit, for whatever purpose,
//     Client.AcquirePermit requests a permit. Without one nothing is sent.
//   - A permit is used soon: permits that are granted in one span of time lead to arrivals
//     in another.
//
// Limit servers don't communicate with each other, so the bound holds whatever any process
// knows:
//
//   - Each saves up permits for little more than one request, and starts with none.
//   - If one dies, freezes or is cut off, its share is unused, and an entry that reaches no
//     limit server sends nothing.
//   - All processes compute the same limit servers from the members of the control group.
//     While members change, two processes may compute different ones; an instance that isn't
//     a limit server by its own view grants nothing.
//
// A limit ends when an answer names none. The entry that received it reports it to the limit
// servers, which pass it on to the entries that request permits. An endpoint whose limit is 0
// still gets a request now and then.
//
// Ledger and KnownLimit are pure: they take the time as input. Locks: LimitView.mu and
// Server.mu are leaves.
package endpointlimit
