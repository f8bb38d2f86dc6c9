// Package retrybudget limits how often a service's endpoints receive the same request more
// than once, so that retries can't multiply an overload.
//
// An arrival is an attempt that an endpoint has received, or may have received; an extra
// arrival is one beyond the first of its request. The limit holds for the whole fleet, for
// each service and over any window: the extra arrivals are at most a ratio of the requests
// plus a slack. The number of requests of a window is the mean of its own and those of the
// window before it: requests that failed just after the traffic fell can be retried, and a
// burst allows more retries from its beginning.
//
// The contract for callers:
//
//   - RecordRequest is called once for each request.
//   - Before each attempt that may be an extra arrival, Reserve takes a reservation. Without
//     one, the attempt isn't sent.
//   - Reservation.Commit is called when an endpoint has received the attempt or may have,
//     Reservation.Cancel when none has, or when the arrival doesn't count.
//
// An Account does this for one request.
//
// Entries decide without asking each other, so their parts of the limit must never add up to
// more than the whole, whatever each of them knows. For the ratio this holds because each
// entry applies it to its own requests of the same periods. The slack is divided by the
// number of entries that may send:
//
//   - The largest number reported within the last window counts, since any of that many
//     entries may have sent arrivals in that time.
//   - An entry that has received no number for a window has no part of the slack: others may
//     have been told that it was removed.
//   - A process has no part of the slack in its first window: it doesn't know what its
//     predecessor has sent, and the other entries may not know of it yet.
//
// The control instances that report the number count an entry for one window after its last
// contact.
//
// The package does no I/O and reads no clock. Budget.mu is a leaf lock: no other lock is taken
// while it is held.
package retrybudget
