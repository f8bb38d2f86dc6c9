// Package retrypool grants retries from a pooled part of the retry budget's slack. The
// control instances hold the pool, and an entry asks one of them when its own part of the
// budget (package retrybudget) allows no retry.
//
// An entry's own part shrinks with the number of entries. Among a thousand it is less than
// one retry in a window, and none could be sent although the fleet's budget is unused.
//
// Each control instance grants its share of the pool by itself: the shares add up to the
// pool, so that no instance needs to know what the others granted. Like an entry, an
// instance has no share in its first window. The pool grants nothing while an entry may
// send that keeps its whole part of the slack (a build without the pool).
//
// Client and Server do the I/O; the counts are those of retrybudget.Budget. There are no
// locks here beyond those of that package and of package backoff, which are leaves.
package retrypool
