// Package storage persists the state of one control instance in a data folder:
// the disk's identity, a log of checksummed records in segments, and the latest
// snapshot. It does I/O only through FS.
//
// The folder holds:
//
//	LOCK                    locked while a process uses the folder
//	identity                disk ID and group, checksummed
//	log-<number>            segments, number in 16 hex digits
//	snapshot-<index>        latest snapshot, index in 16 hex digits
//	*.tmp                   unfinished files, removed at Open
//
// A record holds all data of one sync, so it is either complete or absent.
// Records are numbered without gaps over all segments. An invalid record at the
// end of the last segment is a torn write that was never confirmed, and is
// dropped. An invalid record with a valid later one must have been synced, since
// the later one was written only after that: Open returns ErrCorrupt.
package storage
