// Package replica runs the consensus core of one control instance: it
// persists, then sends, then applies. It is the I/O shell around packages
// consensus and storage, and treats commands as opaque bytes.
package replica
