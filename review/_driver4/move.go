package main

import (
	"context"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/platform/standin"
)

const (
	// seedLag is within what time after a change of the settings the VMs know it.
	seedLag = 3 * time.Second
	// moveTime is how long the store serves at its old address and at the new one.
	moveTime = 10 * time.Second
)

// playMove moves the store to another address, which the settings name from then on.
func playMove(ctx context.Context, e *env, trouble bool) (bool, error) {
	e.configure()
	for _, service := range []string{"orders", "news"} {
		if err := e.startServer(&server{id: "i-" + service + "-0", service: service, zone: "a"}); err != nil {
			return false, err
		}
	}
	if err := e.startVMs(ctx, "a", "a", "a", "a"); err != nil {
		return false, err
	}
	if trouble {
		if err := e.moveStore(); err != nil {
			return false, err
		}
	}
	if err := e.vms[0].cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	e.logf("VM 0 gets SIGHUP")
	time.Sleep(moveTime)
	if trouble {
		e.closeStore()
		e.logf("the store serves at its new address only")
	}
	time.Sleep(seedLag)
	config := standin.Config(8, []string{"shard-a"}, []string{"/added/"}, 58)
	for _, r := range config["routes"].([]any) {
		if route := r.(map[string]any); route["pathPrefix"] == "/read/" {
			route["service"] = "news"
		}
	}
	e.logf("the operator publishes version 8: a route /added/, and /read/ moves to news")
	e.store.Put(standin.ConfigKey, config)
	return e.checkApplied(), nil
}

// moveStore has the store serve at a second address, too, and puts that into all settings.
func (e *env) moveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.serve(l, e.store)
	for _, v := range e.vms {
		text, err := os.ReadFile(v.settings)
		if err != nil {
			return err
		}
		moved := strings.ReplaceAll(string(text), e.storeAddr, l.Addr().String())
		if err := os.WriteFile(v.settings+".new", []byte(moved), 0o600); err != nil {
			return err
		}
		if err := os.Rename(v.settings+".new", v.settings); err != nil {
			return err
		}
	}
	e.logf("the store serves at %s, too, which all settings name instead of %s", l.Addr(), e.storeAddr)
	return nil
}
