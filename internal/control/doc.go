// Package control is the control group's own state and service: settings
// subtrees, instances and their leases, ledger groups, fencing tokens and
// suspects, kept by a replicated log. Machine is pure and deterministic;
// Server puts it on the network and keeps the leader's volatile lease times;
// Client follows the leader from other processes.
package control
