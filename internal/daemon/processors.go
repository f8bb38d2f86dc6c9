package daemon

import (
	"os"
	"runtime"
)

// maxProcessors limits the threads that run Go code at once. A daemon at its target
// load needs less than one. With twelve, idle threads looking for work and the wake-ups
// between them took a quarter of its processor time. Four leave a burst several times
// the headroom that the target asks for.
const maxProcessors = 4

// limitProcessors applies maxProcessors to the whole process unless the GOMAXPROCS
// environment variable is set.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > maxProcessors {
		runtime.GOMAXPROCS(maxProcessors)
	}
}
