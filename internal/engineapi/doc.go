// Package engineapi defines the HTTP API between hyssopsail and the endpoints,
// in both directions. Bodies are JSON; streams are server-sent events with one
// Chunk in each data line.
//
// Endpoint to daemon (the daemon's endpoint listener; Authorization: Bearer
// with the fleet's endpoint key):
//
//	POST /v1/endpoints/announce     Announcement -> AnnounceReply
//	POST /v1/endpoints/heartbeat    Heartbeat    -> AnnounceReply
//	POST /v1/endpoints/leave        Leave        -> LeaveReply
//	POST /v1/endpoints/cache-events CacheEvents  -> CacheEventsReply
//
// Daemon to endpoint:
//
//	POST /v1/prefill     PrefillRequest -> PrefillReply
//	POST /v1/kv/import   ImportRequest  -> ImportReply (KV moves engine to engine)
//	POST /v1/decode      DecodeRequest  -> stream of Chunk
//	POST /v1/cancel      CancelRequest  -> CancelReply
//	GET  /v1/held                       -> HeldReply
//	POST /v1/orders      Order          -> OrderReply
//	GET  /v1/state                      -> Announcement
//	GET  /v1/kv/{handle}                -> raw KV bytes (between engines)
//	GET  /v1/cache                      -> CacheSnapshot
//
// Plain services receive the caller's method, path and body below /call/, with
// HeaderAttempt added.
package engineapi
