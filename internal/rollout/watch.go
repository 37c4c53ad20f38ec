package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/platform"
)

const (
	minBackoff   = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	pollInterval = 20 * time.Second
	relayCheck   = time.Second
)

// Run hears the platform until the context ends: a relay watches, the others poll
// now and then in case no relay can be heard.
func (k *Keeper) Run(ctx context.Context) {
	go k.refresh(ctx)
	k.poll(ctx)
	for ctx.Err() == nil {
		if !k.o.Relay() {
			k.pollWhileNoRelay(ctx)
			continue
		}
		k.watch(ctx)
	}
}

// watch follows the head until the platform fails or the VM is no longer a relay.
func (k *Keeper) watch(ctx context.Context) {
	tag := ""
	backoff := minBackoff
	for ctx.Err() == nil && k.o.Relay() {
		v, changed, err := k.o.Source.Watch(ctx, platform.HeadKey, tag, k.o.Wait)
		if err != nil {
			pause.For(ctx, pause.Spread(backoff))
			backoff = min(2*backoff, maxBackoff)
			tag = ""
			continue
		}
		backoff = minBackoff
		if changed {
			tag = v.Tag
			k.HearText(ctx, v.Body)
		}
	}
}

func (k *Keeper) pollWhileNoRelay(ctx context.Context) {
	until := time.Now().Add(pause.Spread(pollInterval))
	for ctx.Err() == nil && time.Now().Before(until) {
		if k.o.Relay() {
			return
		}
		pause.For(ctx, relayCheck)
	}
	k.poll(ctx)
}

func (k *Keeper) poll(ctx context.Context) {
	v, err := k.o.Source.Get(ctx, platform.HeadKey)
	if err == nil {
		k.HearText(ctx, v.Body)
	} else if !errors.Is(err, platform.ErrNotFound) {
		k.o.Log.Warn("platform not read", "reason", err)
	}
}

// refresh lets a relay restate the newest head so that its fact does not expire, and
// tries again what could not be fetched.
func (k *Keeper) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Spread(headRefresh))
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
