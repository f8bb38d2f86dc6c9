// Package certs writes the keys and certificates of a new fleet: a certificate authority, a
// certificate and key for each instance, and the fleet's secret. All files are readable by
// their owner only, and existing files are never overwritten.
package certs
