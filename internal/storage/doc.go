// Package storage keeps the state of one control instance under one data
// folder: the disk's identity, a log of checksummed records in segments, and
// the newest snapshot. It does I/O only through FS.
//
// The folder holds:
//
//	LOCK                    held while a process uses the folder
//	identity                disk ID and group, checksummed
//	log-<number>            segments, number in 16 hex digits
//	snapshot-<index>        newest snapshot, index in 16 hex digits
//	*.tmp                   unfinished files, removed at Open
//
// A record holds all that one sync made durable, so it is there whole or not
// at all. Records are numbered without gaps over all segments. A bad record at
// the end of the last segment is a write that was cut short, which nobody was
// told of: it is dropped. A bad record with a good later one was synced once,
// for the later one was only begun after that: Open refuses with ErrCorrupt.
package storage
