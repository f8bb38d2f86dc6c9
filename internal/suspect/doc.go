// Package suspect holds the rules by which endpoints' deaths make requests suspects, and put
// one in quarantine. Apply is for a fleet whose instances know all that ran on an endpoint;
// Losses for one whose entries know only what they sent there themselves. It is pure; the
// replicated state, the simulation of package quarantine and package crashboard apply it.
package suspect
