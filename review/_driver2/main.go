// Command driver2 plays the scripted cases 6 to 10 of the review: it starts VMs as processes beside stand-ins of the
// store, the servers and the clients, writes a record and judges what clients and servers saw.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime ends a case that hangs, before the limit of 120 s for a script.
const maxTime = 115 * time.Second

// cases maps a case's number to the function that plays it and returns how often the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken int, err error){
	"6": manyFields,
	"7": forgottenLeaving,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE PROGRAM RECORD TROUBLE")
		return exitNotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver2:", err)
		return exitNotRun
	}
	defer f.close()
	time.AfterFunc(maxTime, func() {
		f.record("not run: the case took too long")
		f.close()
		os.Exit(exitNotRun)
	})
	trouble := os.Args[4] != "0"
	f.record("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, "driver2:", err)
		return exitNotRun
	case broken > 0:
		f.record("rule broken %d times", broken)
		return exitBroken
	}
	f.record("rule held")
	return exitHeld
}
