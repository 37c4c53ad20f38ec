package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/platform"
)

const (
	minBackoff         = 250 * time.Millisecond
	maxBackoff         = 5 * time.Second
	pollInterval       = 20 * time.Second
	relayCheckInterval = time.Second
)

// Run follows the head at the platform until the context ends: a relay watches it, the
// others poll it every 10 to 30 s in case no relay reaches them.
func (k *Keeper) Run(ctx context.Context) {
	go k.refresh(ctx)
	k.poll(ctx)
	for ctx.Err() == nil {
		if !k.o.Relay() {
			k.pollUnlessRelay(ctx)
			continue
		}
		k.watch(ctx)
	}
}

// watch follows the head while this VM is a relay. After a failed call it waits, and
// the next call returns the value even if unchanged.
func (k *Keeper) watch(ctx context.Context) {
	tag := ""
	backoff := minBackoff
	for ctx.Err() == nil && k.o.Relay() {
		v, changed, err := k.o.Source.Watch(ctx, platform.HeadKey, tag, k.o.Wait)
		if err != nil {
			pause.Sleep(ctx, pause.Jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			tag = ""
			continue
		}
		backoff = minBackoff
		if changed {
			tag = v.ETag
			k.receiveHead(ctx, v.Body)
		}
	}
}

// pollUnlessRelay polls after a pollInterval, or returns early once this VM is a relay.
func (k *Keeper) pollUnlessRelay(ctx context.Context) {
	until := time.Now().Add(pause.Jitter(pollInterval))
	for ctx.Err() == nil && time.Now().Before(until) {
		if k.o.Relay() {
			return
		}
		pause.Sleep(ctx, relayCheckInterval)
	}
	k.poll(ctx)
}

func (k *Keeper) poll(ctx context.Context) {
	v, err := k.o.Source.Get(ctx, platform.HeadKey)
	if err == nil {
		k.receiveHead(ctx, v.Body)
	} else if !errors.Is(err, platform.ErrNotFound) {
		k.o.Log.Warn("platform not read", "reason", err)
	}
}

// refresh announces the newest head again, if this VM is a relay, so that its fact does
// not expire, and offers that head again if it is not in force yet.
func (k *Keeper) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Sleep(ctx, pause.Jitter(headRefreshInterval))
		k.mu.Lock()
		newest := k.newest
		k.mu.Unlock()
		if newest.Generation > 0 && k.o.Relay() {
			k.announce(newest)
		}
		if newest.Generation > k.inForce().Generation {
			k.offer(ctx, newest, nil, "")
		}
	}
}
