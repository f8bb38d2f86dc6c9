// Package control implements the replicated state and the service of the
// control group: settings subtrees, instances and their leases, ledger groups,
// fencing tokens and suspects. Machine is the deterministic state machine that
// a replicated log drives; Server exposes it over RPC and holds the leader's
// lease times, which are not replicated; Client calls the group's leader from
// other processes.
package control
