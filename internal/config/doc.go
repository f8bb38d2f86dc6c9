// Package config reads the configuration file of one daemon: its identity, its
// listeners, the addresses that it dials and the files of its keys. Settings of
// teams and the fleet are in package settings. A key that the configured roles
// don't use is refused, so that no daemon runs with a setting without effect.
package config
