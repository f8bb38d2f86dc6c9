// Package originlog keeps at a control instance, on its disk, where streams began, so that callers can
// resume them after all processes ended at the same moment.
//
// Records are appended to a file without a sync: what was written outlives the process, which is what
// ends often. A loss of power may lose or tear the latest records; a record that isn't read makes a
// stream unknown, never one of another version. The file is replaced by one with the live records when
// it has grown, at each start, and after a fault of the disk.
//
// Writing happens in the background: a disk that hangs holds up neither entries nor the process, and
// records that don't fit into the queue meanwhile are written with the next file.
package originlog
