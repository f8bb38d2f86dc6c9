// Package replica runs the consensus core of one control instance. It does the
// I/O for package consensus with package storage and a transport: it persists
// state, then sends messages, then applies entries. Commands are opaque bytes.
package replica
