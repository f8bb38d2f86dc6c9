// Package connguard bounds what the connections of clients cost a process: their number, the
// memory that they hold, the time that they take without progress, and the processor time of those
// that use much of it. A client costs more than the bytes that it sends: its connection has
// buffers here and in the kernel, what it sends is parsed, and each small piece wakes the process.
//
// A Ledger accounts for the connections of one listener. When it is full, it makes room by the
// connections that hold most for longest while they wait for their clients, not by the one that
// comes last. A connection whose request is being served waits for this process and is never
// closed for another's sake.
//
// A Turnstile orders connections that use much processor time: one of them goes on at a time, and
// all of them together have a share of the time. Others never wait for it.
//
// Ledger, meter and processorShare decide by the time that they are given. Conn and Listener apply
// them to sockets, Turnstile to goroutines.
//
// Locking: Conn.mu before Ledger.mu; Turnstile.mu and Ledger.mu are leaves.
package connguard
