// Package hangup has a daemon live through SIGHUP from the start of its process. The
// signal asks a daemon to read its settings again; one that has not come as far as to
// handle it would be ended by it.
//
// Where C code can be linked in, the signal is ignored before the Go runtime starts. It is
// taken before any package is initialised that needs time for it. Calls of signal.Notify
// work as everywhere.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals has a SIGHUP that has come, one at most.
var Signals = take()

func take() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
