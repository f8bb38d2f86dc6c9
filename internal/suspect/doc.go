// Package suspect holds the rules by which crashes of endpoints are held against requests and
// against parts of their prompts.
//
// Apply is for a fleet whose instances know every request that ran on an endpoint; LossTracker is
// for one whose entries know only the requests that they sent there themselves. PartTracker finds
// the part that requests have in common, of which no two are alike, and serves both.
//
// The package does no I/O and reads no clock; the replicated state, the simulation of package
// quarantine and package crashboard apply it.
package suspect
