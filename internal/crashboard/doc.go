// Package crashboard shares findings on requests that crash endpoints between all entries, so
// that such a request is refused at whichever entry its caller repeats it.
//
// The Client of an entry counts the losses that this entry sees, and reports them to every
// control instance, whose Board counts the losses that all entries see. Entries receive the
// changes of a board in the replies when they poll its instance. Both apply the rule of
// suspect.LossTracker.
//
//   - Control instances don't exchange findings: each receives those of all entries that can
//     reach it.
//   - The board of a restarted control instance is empty. An entry that finds one of its
//     findings missing there reports it, so all instances may be killed at the same time.
//   - An entry that has lost contact applies the findings that it has.
//
// Client.mu and Board.mu are leaf locks: no other lock is taken while one of them is held.
package crashboard
