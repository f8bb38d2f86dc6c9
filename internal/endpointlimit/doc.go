// Package endpointlimit keeps the limits that endpoints name: how many requests a second
// one takes from all entries together, for as long as its answers say so.
//
// The limit of an endpoint is kept by a few control instances, its keepers. Each has a
// Part of it in a Ledger of its own and gives leave for one request at a time to the
// entries that ask (Client, Server). The contract of who sends:
//
//   - Client.Hear takes in what each answer says.
//   - Before each send to an endpoint that is known to name a limit, whatever the send is
//     for, Client.Take asks for leave. Without it nothing is sent.
//   - Leave is used soon: what the keepers give in one span of time arrives in another.
//
// Keepers need no word of each other, so that the bound holds whatever any process knows:
//
//   - Each saves up leave for little more than one request, and begins with none.
//   - One that dies, freezes or is cut off takes its part with it, and an entry that
//     reaches none sends nothing.
//   - All processes find the same keepers from the members of the control group. While
//     members change, two may find other ones; a keeper gives nothing where it finds that
//     it is none.
//
// A limit ends when an answer names none. Whoever hears that tells the keepers, who tell
// it to the entries that ask; a limit of nothing still has an endpoint asked now and then.
//
// Ledger and Heard are pure: the time goes in. Locks: Known.mu and Server.mu are leaves.
package endpointlimit
