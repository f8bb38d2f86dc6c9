// Command hyssopsail is the operators' tool: it creates a fleet, checks and
// changes settings, and shows what the fleet does. Exit codes are in exit.go
// and in the tool's help.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
