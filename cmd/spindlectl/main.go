// Command spindlectl is the operators' tool. It changes no state of the fleet:
// operators make changes by committing a manifest.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sardinespindle/sardinespindle/internal/ctl"
)

// Exit codes.
const (
	exitFailed = 1 // a check failed, a VM could not be read, or a query was not answered
	exitUsage  = 2 // invalid command line
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "spindlectl:", err)
	var usage ctl.UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
