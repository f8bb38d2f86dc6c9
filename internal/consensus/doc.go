// Package consensus is the replicated log of the control group as a pure
// state machine: terms, elections with pre-vote, replication, lease and quorum
// reads, snapshots, learners, and membership changes of one member at a time.
//
// A Core does no I/O and reads no clock. Its owner feeds it the time,
// messages and proposals, then takes a Ready: it persists, then sends, then
// applies, and calls Advance. A member is named by the ID of its disk, so that
// an instance whose disk was lost comes back as an unknown member without a vote.
package consensus
