package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// testbed is a running cluster under load, on which an experiment's script acts. mu
// guards the deployment, the generation and the index versions.
type testbed struct {
	*Cluster
	balancer      *balancer
	recorder      *recorder
	workloads     []string // sharded ones
	mu            sync.Mutex
	indexVersions map[string]int // newest index version by workload
}

func newTestbed(c *Cluster, seed uint64) *testbed {
	s := &testbed{Cluster: c, balancer: newBalancer(c.VMs, seed), recorder: newRecorder(), indexVersions: map[string]int{}}
	for _, m := range c.Deployment.Maps {
		s.workloads = append(s.workloads, string(m.Workload))
	}
	return s
}

// commit publishes the deployment as the next generation and records the time.
func (s *testbed) commit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitLocked()
}

// commitLocked is commit for a caller that holds mu.
func (s *testbed) commitLocked() error {
	if err := s.Commit(); err != nil {
		return err
	}
	s.recorder.update(func(j *Journal) {
		j.Commits = append(j.Commits, CommitTime{Generation: s.Generation, At: time.Now()})
	})
	return nil
}

// secondSignalDelay is how long after the first SIGTERM a stopping VM gets a second one, which
// must not cut its stop short.
const secondSignalDelay = 300 * time.Millisecond

// stopVM stops a VM as planned: the platform lists it as leaving, while the balancer
// still picks it for balancerLag.
func (s *testbed) stopVM(vm *VM) error {
	s.PublishVMs(vm)
	s.balancer.removeLater(vm)
	s.recorder.update(func(j *Journal) { openSpan(j.Stops, vm.Name) })
	again := time.AfterFunc(secondSignalDelay, func() { _ = vm.proc.signal(syscall.SIGTERM) })
	defer again.Stop()
	err := vm.proc.stop()
	s.recorder.update(func(j *Journal) {
		closeSpan(j.Stops, vm.Name)
		if err != nil {
			j.Unclean = append(j.Unclean, fmt.Sprintf("%s (%v)", vm.Name, err))
		}
	})
	return nil
}

// killVM kills a VM without notice to the platform.
func (s *testbed) killVM(vm *VM) error {
	s.balancer.removeLater(vm)
	return vm.proc.kill()
}

// startVM starts a VM again. The balancer picks the VM once it is ready or its process has
// exited.
func (s *testbed) startVM(ctx context.Context, vm *VM) error {
	time.Sleep(balancerLag)
	if err := s.StartVM(vm); err != nil {
		return err
	}
	s.PublishVMs()
	if err := s.waitVM(ctx, vm); err != nil {
		return err
	}
	s.balancer.add(vm)
	return nil
}

// pauseVM suspends a VM's process for d.
func (s *testbed) pauseVM(vm *VM, d time.Duration) error {
	s.recorder.update(func(j *Journal) { openSpan(j.Pauses, vm.Name) })
	err := vm.proc.pause(d)
	s.recorder.update(func(j *Journal) { closeSpan(j.Pauses, vm.Name) })
	return err
}

// setPartition cuts the links between the first n VMs and the others, and takes the
// platform down for the first n, or restores both.
func (s *testbed) setPartition(n int, cut bool) {
	for i, row := range s.links {
		for j, r := range row {
			if r != nil && (i < n) != (j < n) {
				r.Cut(cut)
			}
		}
	}
	mode := standin.Up
	if cut {
		mode = standin.Down
	}
	for _, vm := range s.VMs[:n] {
		s.Platform.SetMode(vm.Name, mode)
		s.recorder.update(func(j *Journal) {
			if cut {
				openSpan(j.Cuts, vm.Name)
			} else {
				closeSpan(j.Cuts, vm.Name)
			}
		})
	}
}

// setPlatformMode sets the platform's mode for all VMs. While it is not Up, no VM is
// required to have a new manifest in force.
func (s *testbed) setPlatformMode(m standin.Mode) {
	s.Platform.SetMode("", m)
	s.recorder.update(func(j *Journal) {
		for _, vm := range s.VMs {
			closeSpan(j.Cuts, vm.Name)
			if m != standin.Up {
				openSpan(j.Cuts, vm.Name)
			}
		}
	})
}

// setBehaviour sets the behaviour of the upstreams at some addresses.
func (s *testbed) setBehaviour(ctx context.Context, b standin.Behaviour, addresses ...string) error {
	return s.Do(ctx, standin.Command{Addresses: addresses, Behaviour: &b})
}

// advanceIndex moves a workload's upstreams to the next index version, each at a random
// moment within spread.
func (s *testbed) advanceIndex(ctx context.Context, workload string, spread time.Duration) error {
	s.mu.Lock()
	s.indexVersions[workload] = max(s.indexVersions[workload], 1) + 1
	next := s.indexVersions[workload]
	s.mu.Unlock()
	return s.Do(ctx, standin.Command{Workload: workload, Index: next, SpreadMs: int(spread.Milliseconds())})
}

// Ways to change a partition map.
const (
	splitShard = "split"
	mergeShard = "merge"
	moveRange  = "move"
)

// repartition commits a new partition map, then moves the upstreams to it, each at a random
// moment within spread. Upstreams keep serving the shards of the older maps.
func (s *testbed) repartition(ctx context.Context, workload, kind string, index int, spread time.Duration) error {
	s.mu.Lock()
	next, shards := s.Deployment.Repartition(workload, kind, index)
	s.Deployment.Maps = append(s.Deployment.Maps, next)
	err := s.commitLocked()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	return s.Do(ctx, standin.Command{Workload: workload, Map: &next, Shards: shards, SpreadMs: int(spread.Milliseconds())})
}

// Repartition computes the next partition map of a workload: the shard at an index is split
// in two, merged with the next shard, or loses the upper half of its range to the next shard.
// It adds the new shards to the upstreams and returns the shards that each upstream serves.
func (d *Deployment) Repartition(workload, kind string, index int) (manifest.PartitionMap, map[string][]manifest.Name) {
	old := d.newestMap(workload)
	index %= len(old.Shards) - 1
	left, right := old.Shards[index], old.Shards[index+1]
	next := manifest.PartitionMap{Workload: old.Workload, Version: old.Version + 1}
	name := func(n int) manifest.Name { return manifest.Name(fmt.Sprintf("m%d-%d", next.Version, n)) }
	middle := left.First + (left.Last-left.First)/2
	var created []manifest.Shard
	replaced := 2
	switch kind {
	case splitShard:
		replaced = 1
		created = []manifest.Shard{{Name: name(1), First: left.First, Last: middle}, {Name: name(2), First: middle + 1, Last: left.Last}}
	case mergeShard:
		created = []manifest.Shard{{Name: name(1), First: left.First, Last: right.Last}}
	default:
		created = []manifest.Shard{{Name: name(1), First: left.First, Last: middle}, {Name: name(2), First: middle + 1, Last: right.Last}}
	}
	next.Shards = append(next.Shards, old.Shards[:index]...)
	next.Shards = append(next.Shards, created...)
	next.Shards = append(next.Shards, old.Shards[index+replaced:]...)
	sources := map[manifest.Name][]manifest.Name{created[0].Name: {left.Name}}
	switch kind {
	case splitShard:
		sources[created[1].Name] = []manifest.Name{left.Name}
	case mergeShard:
		sources[created[0].Name] = []manifest.Name{left.Name, right.Name}
	default:
		sources[created[1].Name] = []manifest.Name{right.Name}
	}
	return next, d.addShards(workload, sources)
}

// addShards adds each new shard to the upstreams that serve a shard it was made from. It
// replaces lists of shards instead of extending them, since published parts may share
// them.
func (d *Deployment) addShards(workload string, sources map[manifest.Name][]manifest.Name) map[string][]manifest.Name {
	out := map[string][]manifest.Name{}
	for i, u := range d.Upstreams {
		if string(u.Workload) != workload {
			continue
		}
		shards := append([]manifest.Name{}, u.Shards...)
		for created, old := range sources {
			if slices.ContainsFunc(old, func(h manifest.Name) bool { return slices.Contains(u.Shards, h) }) {
				shards = append(shards, created)
			}
		}
		d.Upstreams[i].Shards = shards
		out[u.Address] = shards
	}
	return out
}

func (d *Deployment) newestMap(workload string) manifest.PartitionMap {
	var newest manifest.PartitionMap
	for _, m := range d.Maps {
		if string(m.Workload) == workload && m.Version > newest.Version {
			newest = m
		}
	}
	return newest
}
