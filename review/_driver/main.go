// Command driver runs one case of the review: the project's daemons as processes of their own, with
// stand-ins of the store, the servers and the clients in this process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// maxRun bounds a run.
const maxRun = 110 * time.Second

// cases returns by name what runs a case. Without trouble, it runs without the disruption. It reports
// whether the rule held.
var cases = map[string]func(ctx context.Context, c *cluster, trouble bool) (ok bool, err error){
	"route-added":  routeAdded,
	"late-refusal": lateRefusal,
	"reshard":      reshard,
	"smaller-top":  smallerTop,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE ROOT RECORD")
		return unable
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	c, err := newCluster(rec, os.Args[2])
	if err != nil {
		rec.say("could not run: %v", err)
		return unable
	}
	defer c.close()
	ok, err := cases[os.Args[1]](ctx, c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil || ctx.Err() != nil:
		rec.say("could not run: %v %v", err, ctx.Err())
		return unable
	case ok:
		rec.say("the rule held")
		return held
	default:
		rec.say("the rule was broken")
		return broken
	}
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// names returns n names with a prefix.
func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%02d", prefix, i)
	}
	return out
}
