package daemon

import (
	"os"
	"runtime"
)

// mostProcessors bounds the threads that run Go code at once. A daemon within
// its targets needs less than one; with twelve, idle threads that look for work
// and the wake-ups between them took a quarter of its processor time. Four give
// a burst several times the room that the target asks for.
const mostProcessors = 4

// limitProcessors applies mostProcessors to the whole process, unless the
// GOMAXPROCS variable of its environment says otherwise.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" && runtime.GOMAXPROCS(0) > mostProcessors {
		runtime.GOMAXPROCS(mostProcessors)
	}
}
