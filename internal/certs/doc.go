// Package certs writes a working set of keys for a new fleet: a certificate
// authority, a certificate and key for each instance, and the fleet's secret.
// All files are readable by their owner alone, and none is ever overwritten.
package certs
