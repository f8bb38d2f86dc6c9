// Package faultfs is an in-memory storage.FS for tests that injects disk faults:
// loss of unsynced data and torn writes at a crash, damaged bytes, a full disk,
// failing syncs, and stalls.
package faultfs
