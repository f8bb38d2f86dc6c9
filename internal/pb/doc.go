// Package pb holds the messages and drpc services between hyssopsail's own
// processes, generated from the .proto files beside it by scripts/generate.
// Times named _ms are milliseconds, _ns nanoseconds; unix_ms counts from the
// Unix epoch. IDs are opaque strings.
package pb
