// Package retrybudget bounds how often a service's endpoints see requests more than once,
// so that retries can't multiply an overload.
//
// The bound is the fleet's, for each service and over any window: the arrivals beyond the
// first of each request are at most a ratio of the requests plus a slack. The requests of
// a window are the mean of its own and those of the window before it: what failed just
// after the traffic fell may be sent again, and a burst allows more from its beginning.
//
// The contract of who sends:
//
//   - Request tells of each request once.
//   - Before each send that may be an arrival beyond the first, Reserve takes a
//     reservation. Without it, the request isn't sent.
//   - Reservation.Commit follows when an endpoint has seen the send or may have,
//     Reservation.Cancel when none has, or when the arrival turned out to be free.
//
// An Account does this for one request.
//
// Entries decide alone, so their parts of the bound must add up to no more than the whole,
// whatever each of them knows. The ratio's part does, as each entry takes it of its own
// requests in the same spans. The slack is divided by the number of entries that may send:
//
//   - The largest number told within the last window counts, as arrivals of that time may
//     have been sent by any of them.
//   - An entry that was told none for a window has no part: others may be told that it is
//     gone.
//   - A process has no part in its first window: it doesn't know what the one before it
//     has sent, and the others may not know of it.
//
// Whoever tells the number counts an entry for a window after it was last heard.
//
// It does no I/O and reads no clock. Budget.mu is a leaf.
package retrybudget
