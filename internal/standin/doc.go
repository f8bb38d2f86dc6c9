// Package standin emulates endpoints for tests and measurements: a model
// engine with continuous batching, KV memory, a prefix cache and KV transfer
// over HTTP, or a plain service that records each run. Time is real. The
// figures of the emulation are in Timing; what the engine did is in Audit;
// faults are switched by Faults.
//
// Simplifications: memory is checked when a request enters, and grows by its
// output without a second check; a cached prefix takes no memory from
// requests; wire bytes of a transfer are KV bytes divided by
// Timing.WireScale, while its time follows the whole KV bytes.
package standin
