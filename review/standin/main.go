// Command standin holds what the cases of the review start beside the project's own programs: a
// model or plain server as a process of its own, and the cases themselves, which play the
// platform, the operator and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin server|CASE [flags]")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(play))
}
