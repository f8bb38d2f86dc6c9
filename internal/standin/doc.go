// Package standin emulates endpoints for tests and measurements: a model
// engine with continuous batching, KV memory, a prefix cache and KV transfer
// over HTTP, or a plain service that records each run. It runs in real time.
// Timing configures the emulation, Audit records what the engine did, and Faults
// injects faults.
//
// Simplifications: memory is checked when a request is admitted, and grows with
// its output without another check; a cached prefix takes no memory from
// requests; a transfer sends the KV bytes divided by Timing.KVBytesPerWireByte, while its
// duration is that of all KV bytes.
package standin
