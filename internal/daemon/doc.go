// Package daemon assembles one hyssopsaild process: it opens the listeners, builds
// the control and entry roles that the configuration file names, runs them, and stops
// them in an order that cuts off no request in flight.
package daemon
