// Package suspect is the rule by which an endpoint's death makes the requests
// that ran there suspects, and puts one in quarantine. It is pure; the
// replicated state and the simulation of package quarantine apply it.
package suspect
