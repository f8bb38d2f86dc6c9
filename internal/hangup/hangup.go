// Package hangup keeps a daemon from being terminated by SIGHUP from the start of its
// process. The signal asks a daemon to reload its settings; it would terminate a daemon
// that hasn't installed its handler yet.
//
// With cgo, the signal is ignored before the Go runtime starts. The handler is installed
// before the initialisation of any package that takes noticeable time. signal.Notify works
// as usual.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. It buffers at most one signal.
var Signals = notifyHangup()

func notifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
