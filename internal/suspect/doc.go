// Package suspect holds the rules by which crashes of endpoints make requests suspects, and
// place a request in quarantine. Apply is for a fleet whose instances know every request that
// ran on an endpoint; LossTracker is for one whose entries know only the requests that they sent
// there themselves. The package does no I/O and reads no clock; the replicated state, the
// simulation of package quarantine and package crashboard apply it.
package suspect
