// Package daemon puts the parts of one hyssopsaild together: it opens the
// listeners, builds the control and entry roles that the daemon's file names,
// runs them, and stops them in the order that cuts off nothing in flight.
package daemon
