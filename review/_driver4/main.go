// Command _driver4 plays the scripted cases of the third independent review. It starts daemons as separate
// processes with settings from the deploy file's template, and serves the store, the servers and the clients
// that they talk to on loopback addresses.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// maxRun bounds a case, which may take 120 s.
const maxRun = 110 * time.Second

// scenario plays a case and reports whether the rule held. With trouble false it leaves the disruption out.
type scenario func(ctx context.Context, e *env, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"config":   playConfig,
	"deadline": playDeadline,
	"entry":    playEntry,
	"move":     playMove,
	"options":  playOptions,
}

var errUnknownCase = errors.New("unknown case")

func main() {
	name := flag.String("case", "", "Case to play.")
	daemon := flag.String("daemon", "", "The daemon's binary.")
	template := flag.String("template", "", "The template of the daemon's settings.")
	record := flag.String("record", "record.txt", "File for what was sent, answered and run.")
	flag.Parse()
	os.Exit(run(*name, *daemon, *template, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, daemon, template, record string, trouble bool) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer file.Close()
	held, err := play(name, daemon, template, file, trouble)
	switch {
	case err != nil:
		fmt.Fprintf(file, "could not run: %v\n", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	case held:
		fmt.Fprintln(file, "verdict: the rule held")
		return statusHeld
	default:
		fmt.Fprintln(file, "verdict: the rule was broken")
		return statusBroken
	}
}

func play(name, daemon, template string, record io.Writer, trouble bool) (held bool, err error) {
	s := scenarios[name]
	if s == nil {
		return false, fmt.Errorf("%w: %q", errUnknownCase, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	e, err := newEnv(daemon, template, record)
	if err != nil {
		return false, err
	}
	defer e.close()
	e.logf("case %s, trouble %v", name, trouble)
	return s(ctx, e, trouble)
}
