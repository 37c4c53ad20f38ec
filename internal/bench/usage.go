package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor times in /proc: USER_HZ, which is 100 on Linux.
const ticksPerSecond = 100

// Indexes of fields in /proc/PID/stat, counted from the field after the command name.
const (
	userField   = 11
	systemField = 12
)

// Usage is the resources that VMs used in a run.
type Usage struct {
	// Cores is processor time divided by elapsed time, the mean of the VMs whose process
	// ran throughout.
	Cores float64 `json:"cores"`
	// PeakMB is the largest resident memory of any of these VMs.
	PeakMB float64 `json:"peak_mb"`
	// PeerKBps is the traffic with other VMs, sent and received, in KB per second and VM.
	PeerKBps float64 `json:"peer_kbps"`
	// Processes is the number of VMs whose process ran throughout.
	Processes int `json:"processes"`
}

// usageSnapshot is the resources used up to one moment.
type usageSnapshot struct {
	at        time.Time
	cpu       map[int]float64 // seconds, by process id
	peerBytes int64
}

func (c *Cluster) usage() usageSnapshot {
	s := usageSnapshot{at: time.Now(), cpu: map[int]float64{}}
	for _, vm := range c.VMs {
		if vm.proc != nil && vm.proc.alive() {
			if sec, err := cpuSeconds(vm.proc.cmd.Process.Pid); err == nil {
				s.cpu[vm.proc.cmd.Process.Pid] = sec
			}
		}
	}
	for _, row := range c.links {
		for _, r := range row {
			if r != nil {
				s.peerBytes += r.Bytes()
			}
		}
	}
	return s
}

// usageSince returns the usage between an earlier snapshot and now.
func (c *Cluster) usageSince(before usageSnapshot) Usage {
	after := c.usage()
	elapsed := after.at.Sub(before.at).Seconds()
	var u Usage
	for pid, sec := range after.cpu {
		from, ok := before.cpu[pid]
		if !ok {
			continue
		}
		u.Processes++
		u.Cores += (sec - from) / elapsed
		if mb, err := peakMB(pid); err == nil {
			u.PeakMB = max(u.PeakMB, mb)
		}
	}
	if u.Processes > 0 {
		u.Cores /= float64(u.Processes)
	}
	// Each byte on a link is sent by one VM and received by another.
	u.PeerKBps = 2 * float64(after.peerBytes-before.peerBytes) / 1000 / elapsed / float64(len(c.VMs))
	return u
}

func cpuSeconds(pid int) (float64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	_, rest, _ := strings.Cut(string(body), ") ")
	f := strings.Fields(rest)
	if len(f) <= systemField {
		return 0, fmt.Errorf("usage: short stat of %d", pid)
	}
	user, err := strconv.Atoi(f[userField])
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	system, err := strconv.Atoi(f[systemField])
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	return float64(user+system) / ticksPerSecond, nil
}

func peakMB(pid int) (float64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	_, rest, ok := strings.Cut(string(body), "VmHWM:")
	f := strings.Fields(rest)
	if !ok || len(f) == 0 {
		return 0, fmt.Errorf("usage: no VmHWM in /proc/%d/status", pid)
	}
	kb, err := strconv.ParseFloat(f[0], 64)
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	return kb / 1000, nil
}
