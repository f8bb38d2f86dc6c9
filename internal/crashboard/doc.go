// Package crashboard shares findings on requests, and on parts of prompts, that crash endpoints
// between all entries, so that they are refused at whichever entry they come next.
//
// The Client of an entry counts the losses that this entry sees, and reports them to every
// control instance, whose Board counts the losses that all entries see. Both apply the rules of
// suspect.LossTracker and suspect.PartTracker. Entries receive the changes of a board in the
// replies when they poll its instance, or ask for them with a PartPoller.
//
//   - Control instances don't exchange findings: each receives those of all entries that can
//     reach it.
//   - The board of a restarted control instance is empty. An entry that finds one of its
//     findings missing there reports it, so all instances may be killed at the same time.
//   - An entry that has lost contact applies the findings that it has.
//
// Client.mu and Board.mu are leaf locks: no other lock is taken while one of them is held.
package crashboard
