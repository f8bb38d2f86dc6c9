// Package membership maintains a daemon's membership in the fleet: it renews the
// instance lease at the control group, pulls state deltas in order, and publishes
// the shared state to the rest of the daemon. Callers check here, before they
// act, that neither the instance lease nor the settings lease has expired.
package membership
