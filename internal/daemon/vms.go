package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/pause"
	"github.com/sardinespindle/sardinespindle/internal/platform"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/platform"
)

// vmsBackoff is the mean pause after the platform's VM list could not be read.
const vmsBackoff = time.Second

// watchVMs follows the platform's lagging list of VMs.
func (d *Daemon) watchVMs(ctx context.Context) {
	tag := ""
	wait := time.Duration(d.s.Platform.WatchSeconds) * time.Second
	for ctx.Err() == nil {
		v, changed, err := d.platform.Watch(ctx, platform.VMsKey, tag, wait)
		if err != nil {
			tag = ""
			pause.For(ctx, pause.Spread(vmsBackoff))
			continue
		}
		d.listedAt.Store(int64(clock.Boot()))
		if !changed {
			continue
		}
		tag = v.Tag
		d.setVMs(v.Body)
	}
}

// listAge returns how long ago the platform last confirmed the VM list; where it never
// did, how long the VM has been up.
func (d *Daemon) listAge() time.Duration {
	return clock.Boot() - max(time.Duration(d.listedAt.Load()), d.started)
}

func (d *Daemon) setVMs(text []byte) {
	var list gen.VMList
	if err := json.Unmarshal(text, &list); err != nil {
		d.log.Error("VM list refused", "reason", err)
		return
	}
	d.node.SetVMs(list.Vms)
}
