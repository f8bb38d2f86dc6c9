// Package consensus is the replicated log of the control group as a pure
// state machine: terms, elections with pre-vote, replication, lease and quorum
// reads, snapshots, learners, and membership changes of one member at a time.
//
// A Core does no I/O and reads no clock. Its caller passes in the time,
// messages and proposals, and then processes a Ready: it persists, sends and
// applies, in this order, and calls Advance. A member is identified by its disk
// ID, so that an instance that lost its disk returns as a new member without a
// vote.
package consensus
