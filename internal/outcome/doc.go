// Package outcome is the ledger of outcomes: for each request key one small
// consensus on three entry instances decides once whether an attempt may run
// (intent) or none ever may (tombstone). "Not run" is said only after a
// tombstone is decided or when no intent was ever proposed. Records hold
// keyed hashes, never bodies, and live for settings.Timeouts.RecordLife.
package outcome
