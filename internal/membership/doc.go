// Package membership keeps a daemon's place in the fleet: it renews the
// instance lease at the control group, pulls state deltas in order, and
// publishes the shared state for the other parts. A daemon whose lease or
// settings lease has run out finds that out here, before it acts.
package membership
