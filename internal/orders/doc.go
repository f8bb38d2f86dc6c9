// Package orders carries out orders to endpoints: load, unload, change role.
// Each has a fencing token from the replicated log. Endpoints that check
// tokens refuse an older order by themselves; for those that ignore them the
// issuer waits out every earlier one, reads the endpoint's state back, and
// issues again when another order has slipped in. Process decides, Issuer
// does the calls.
package orders
