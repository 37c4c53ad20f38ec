// Command spindlectl is the operators' tool. It only reads: operators act by
// committing a manifest.
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
	exitFailed = 1
	exitUsage  = 2
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
