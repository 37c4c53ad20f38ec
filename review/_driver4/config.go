package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

const (
	// applyTime is within what time after its acknowledgement a version is in force.
	applyTime = 3 * time.Second
	// checks of each route are sent to each VM once that time is over, checkInterval apart.
	checks        = 10
	checkInterval = time.Second
)

// playConfig has the operator publish a version that adds a route, moves one and sets a time-out, which is written
// with a decimal point.
func playConfig(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	for _, service := range []string{"orders", "news"} {
		if err := e.startServer(&server{id: "i-" + service + "-0", service: service, zone: "a"}); err != nil {
			return false, err
		}
	}
	if err := e.startVMs(ctx, "a", "a"); err != nil {
		return false, err
	}
	config := standin.Config(8, []string{"shard-a"}, []string{"/added/"}, 58)
	timeout := json.RawMessage("1500")
	if trouble {
		timeout = json.RawMessage("1500.0")
	}
	for _, r := range config["routes"].([]any) {
		switch route := r.(map[string]any); route["pathPrefix"] {
		case "/order/":
			route["timeoutMs"] = timeout
		case "/read/":
			route["service"] = "news"
		}
	}
	e.logf("the operator publishes version 8: a route /added/, /read/ moves to news, timeoutMs of /order/ is %s", timeout)
	e.store.Put(standin.ConfigKey, config)
	return e.checkApplied(), nil
}

// checkApplied checks that version 8, which was just published, is in force on all VMs in time: it adds the route
// "/added/" and moves "/read/" to "news".
func (e *env) checkApplied() bool {
	time.Sleep(applyTime + time.Second)
	stale := 0
	for n := range checks {
		for i, v := range e.vms {
			for _, path := range []string{"/added/", "/read/"} {
				id := fmt.Sprintf("c%d-%d%s", n, i, strings.ReplaceAll(path, "/", "-"))
				a := send(v.front, request{"GET", path + id, id, "2000", 3 * time.Second})
				e.logf("client sent %s to VM %d: %v", path+id, i, a)
				if a.status == 404 || path == "/read/" && strings.Contains(a.body, " of orders ") {
					stale++
				}
			}
		}
		time.Sleep(checkInterval)
	}
	e.logf("%d of %d requests sent %v after the acknowledgement or later were handled as only version 7 allows",
		stale, 2*checks*len(e.vms), applyTime+time.Second)
	return stale == 0
}
