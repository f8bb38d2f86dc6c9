// Package config reads the daemon's own file: who the process is, where it
// listens, whom it dials and where its keys are. What teams and the fleet
// share lies in package settings instead. A key that the given roles would
// ignore is refused, so that no daemon runs with a setting that does nothing.
package config
