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

// vmsBackoff is the mean delay after a failure to read the platform's VM list.
const vmsBackoff = time.Second

// watchVMs follows the platform's list of VMs, which lags behind their starts and ends.
func (d *Daemon) watchVMs(ctx context.Context) {
	tag := ""
	wait := time.Duration(d.s.Platform.WatchSeconds) * time.Second
	for ctx.Err() == nil {
		v, changed, err := d.platform.Watch(ctx, platform.VMsKey, tag, wait)
		if err != nil {
			tag = ""
			pause.Sleep(ctx, pause.Jitter(vmsBackoff))
			continue
		}
		d.listedAt.Store(int64(clock.Boot()))
		if !changed {
			continue
		}
		tag = v.ETag
		d.setVMs(v.Body)
	}
}

// listAge returns the time since the platform last confirmed the VM list, or since the start
// of this process if it never did.
func (d *Daemon) listAge() time.Duration {
	return clock.Boot() - max(time.Duration(d.listedAt.Load()), d.started)
}

// setVMs applies the text of a VM list; an invalid one leaves the last in force.
func (d *Daemon) setVMs(text []byte) {
	var list gen.VMList
	if err := json.Unmarshal(text, &list); err != nil {
		d.log.Error("VM list refused", "reason", err)
		return
	}
	d.node.SetVMs(list.Vms)
}
