// Package faultfs is a file system in memory that fails like a real disk, for
// the tests of what is built on storage.FS: it loses what was not synced at a
// crash, tears the last write, damages bytes, fills up, refuses a sync, and
// stalls.
package faultfs
