// Package crashboard tells all entries which requests crash endpoints, so that such a
// request is refused wherever its caller sends it again.
//
// An entry's Client counts what that entry sees and reports it to each control instance,
// whose Board counts what all entries see. Boards answer with what is new on them when
// entries ask what else has changed; the rule is suspect.Losses for both.
//
//   - Control instances need no word of each other: each hears all entries that reach it.
//   - A board that begins anew is empty. An entry that finds something missing there tells
//     it, so that instances may all be killed at the same moment.
//   - An entry that is cut off goes on by what it knows.
//
// Locks: Client.mu and Board.mu are leaves.
package crashboard
