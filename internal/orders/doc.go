// Package orders carries out orders to endpoints: load, unload, change role.
// Each order has a fencing token from the replicated log. An endpoint that
// checks tokens refuses an older order by itself. For an endpoint that ignores
// them the issuer waits until every earlier order must have ended, reads the
// endpoint's state back, and reissues the order if another one overwrote it.
// Process makes the decisions without I/O; Issuer makes the calls.
package orders
