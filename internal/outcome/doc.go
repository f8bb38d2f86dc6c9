// Package outcome keeps the ledger of request outcomes. For each request key, a
// consensus among three entry instances decides once whether one attempt may run (an
// intent) or none ever may (a tombstone). A caller is told "not run" only after a
// tombstone is decided, or if no intent was ever proposed. Records hold keyed hashes,
// never bodies, and expire after settings.Timeouts.RecordLife.
package outcome
