package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
)

// Experiment is a load and a script of faults.
type Experiment struct {
	Name, About string
	// Streams are sent in addition to the deployment's ordinary load.
	Streams func(deployment string) []Stream
	// OnlyStreams leaves out the ordinary load.
	OnlyStreams bool
	// SkipSampling leaves the VMs' status unread, since reading it costs them processor time.
	SkipSampling bool
	// Script acts on the cluster while the load runs; nil for none.
	Script func(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error
}

// ordinaryLoad returns the streams of normal operation.
func ordinaryLoad(deployment string) []Stream {
	k := []Stream{
		{Caller: "builders", Workload: "parts-finder", Rate: 30},
		{Caller: "workshops", Workload: "parts-finder", Rate: 5},
		{Caller: "teachers", Workload: "voicing-guide", Rate: 10},
		{Caller: "workshops", Workload: "order-desk", Rate: 10},
		{Caller: "teachers", Workload: "workshop-news", Rate: 5},
	}
	v := []Stream{
		{Caller: "counters", Workload: "iade-bakis", Rate: 30},
		{Caller: "auditors", Workload: "iade-bakis", Rate: 5},
		{Caller: "auditors", Workload: "stok-geri", Rate: 5},
		{Caller: "reconciliation", Workload: "stok-geri", Rate: 5},
		{Caller: "counters", Workload: "mutabakat", Rate: 10},
		{Caller: "auditors", Workload: "bayi-portal", Rate: 5},
	}
	switch deployment {
	case Klapka:
		return k
	case Kervan:
		return v
	}
	return append(k, v...)
}

// targets names the workloads and callers that an experiment loads or breaks.
type targets struct{ searchWorkload, firstCaller, secondCaller, orderWorkload, orderCaller, singleWorkload, singleCaller string }

func targetsOf(deployment string) targets {
	if deployment == Kervan {
		return targets{searchWorkload: "iade-bakis", firstCaller: "counters", secondCaller: "auditors", orderWorkload: "mutabakat", orderCaller: "counters", singleWorkload: "bayi-portal", singleCaller: "auditors"}
	}
	return targets{searchWorkload: "parts-finder", firstCaller: "builders", secondCaller: "workshops", orderWorkload: "order-desk", orderCaller: "workshops", singleWorkload: "workshop-news", singleCaller: "teachers"}
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{Name: "idle", About: "no load, no fault: what control costs", OnlyStreams: true, SkipSampling: true},
		{Name: "steady", About: "ordinary load, no fault"},
		{Name: "straggler", About: "1 in 100 sub-requests takes 20 times as long, one replica always 10 times", Script: straggler},
		{Name: "overload", About: "twice the capacity for the middle half of the time; callers ask again", OnlyStreams: true, Script: overload, Streams: overloadStreams},
		{Name: "drain", About: "replicas leave in turn; their health endpoints lie", Script: drain},
		{Name: "partition", About: "half of the VMs lose the others and the platform, while the manifest changes and orders are sent twice", Streams: duplicateStreams, Script: partition},
		{Name: "zone-cut", About: "the upstreams of one zone stop answering for the middle half of the time", Script: zoneCut},
		{Name: "rolling-restart", About: "each VM in turn is stopped as planned and replaced", Script: rollingRestart},
		{Name: "platform-outage", About: "the platform is down, then frozen, then answers older values; a VM is replaced meanwhile", Script: platformOutage},
		{Name: "manifest-churn", About: "a commit every 2 s", Script: manifestChurn},
		{Name: "repartition", About: "index versions advance while shards are split, merged and moved", Script: repartition},
		{Name: "order-resend", About: "orders sent twice at once and again; VMs are killed and frozen", Streams: duplicateStreams, Script: orderResend},
		{Name: "crashing-request", About: "requests that crash each upstream that runs them, sent again", Streams: crashStreams},
		{Name: "replies", About: "truncated, crossed and late replies, ignored pins, older index versions", Script: replies},
		{Name: "chaos", About: "all faults at random, with kill -9 and freezes", Streams: duplicateStreams, Script: chaos},
	}
}

// Find returns an experiment by its name.
func Find(name string) (Experiment, error) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, fmt.Errorf("bench: no experiment %q", name)
}

func duplicateStreams(deployment string) []Stream {
	l := targetsOf(deployment)
	return []Stream{{Caller: l.orderCaller, Workload: l.orderWorkload, Rate: 10, Duplicate: true}}
}

func crashStreams(deployment string) []Stream {
	l := targetsOf(deployment)
	return []Stream{
		{Caller: l.firstCaller, Workload: l.searchWorkload, Rate: 0.3, Crash: true},
		{Caller: l.singleCaller, Workload: l.singleWorkload, Rate: 0.3, Crash: true},
		{Caller: l.orderCaller, Workload: l.orderWorkload, Rate: 0.3, Crash: true},
	}
}

func overloadStreams(deployment string) []Stream {
	l := targetsOf(deployment)
	return []Stream{
		{Caller: l.firstCaller, Workload: l.searchWorkload, Rate: 60, Resend: true},
		{Caller: l.secondCaller, Workload: l.searchWorkload, Rate: 40, Resend: true},
	}
}

// overloadServiceMs makes a sharded workload's capacity 100 queries a second: each shard
// has two replicas with two slots each.
const overloadServiceMs = 40

// overload makes the upstreams four times as slow for the middle half of the time, which
// takes the load from half of their capacity to twice their capacity.
func overload(ctx context.Context, s *testbed, _ *rand.Rand, d time.Duration) error {
	w := targetsOf(s.Deployment.Name).searchWorkload
	set := func(ms float64) error {
		return s.Do(ctx, standin.Command{Workload: w, Behaviour: &standin.Behaviour{ServiceMs: ms}})
	}
	if err := set(overloadServiceMs / 2); err != nil {
		return err
	}
	time.Sleep(d / 4)
	if err := set(overloadServiceMs * 2); err != nil {
		return err
	}
	time.Sleep(d / 2)
	return set(overloadServiceMs / 2)
}

// zoneCut makes every upstream of the first zone hang for the middle half of the time.
func zoneCut(ctx context.Context, s *testbed, _ *rand.Rand, d time.Duration) error {
	addresses := s.Deployment.zoneAddresses(s.Deployment.Zones[0])
	time.Sleep(d / 4)
	if err := s.setBehaviour(ctx, standin.Behaviour{Hang: true}, addresses...); err != nil {
		return err
	}
	time.Sleep(d / 2)
	return s.setBehaviour(ctx, standin.Behaviour{}, addresses...)
}

func straggler(ctx context.Context, s *testbed, _ *rand.Rand, _ time.Duration) error {
	b := standin.Behaviour{StragglerShare: 0.01}
	if err := s.Do(ctx, standin.Command{Behaviour: &b}); err != nil {
		return err
	}
	w := targetsOf(s.Deployment.Name).searchWorkload
	b.Slow = 10
	return s.setBehaviour(ctx, b, s.Deployment.AddressesOf(w, "s03")[0])
}

// drain takes replicas out of service, one of a sharded and one of a single workload at
// a time. Each announces the drain in its replies, goes down 5 s later, and is back 1 s
// after that, cold.
func drain(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error {
	const leave = 5 * time.Second
	w := targetsOf(s.Deployment.Name).searchWorkload
	all := s.Deployment.AddressesOf(w, "")
	single := s.Deployment.AddressesOf(targetsOf(s.Deployment.Name).singleWorkload, "")
	for start := time.Now(); time.Since(start) < d; {
		batch := []string{all[rng.IntN(len(all)/2)*2], single[rng.IntN(len(single))]}
		if err := s.setBehaviour(ctx, standin.Behaviour{Draining: true, FakeHealth: true}, batch...); err != nil {
			return err
		}
		time.Sleep(leave)
		if err := s.setBehaviour(ctx, standin.Behaviour{Draining: true, Down: true}, batch...); err != nil {
			return err
		}
		time.Sleep(leave / 5)
		if err := s.setBehaviour(ctx, standin.Behaviour{ColdMs: 2000}, batch...); err != nil {
			return err
		}
	}
	return nil
}

func partition(_ context.Context, s *testbed, _ *rand.Rand, d time.Duration) error {
	time.Sleep(d / 5)
	s.setPartition(len(s.VMs)/2, true)
	if err := s.commit(); err != nil {
		return err
	}
	time.Sleep(3 * d / 5)
	s.setPartition(len(s.VMs)/2, false)
	return nil
}

// longServiceMs keeps single requests in flight while their VM is being stopped.
const longServiceMs = 400

func rollingRestart(ctx context.Context, s *testbed, _ *rand.Rand, _ time.Duration) error {
	long := standin.Command{Workload: targetsOf(s.Deployment.Name).singleWorkload, Behaviour: &standin.Behaviour{ServiceMs: longServiceMs}}
	if err := s.Do(ctx, long); err != nil {
		return err
	}
	for _, vm := range s.VMs {
		if err := s.stopVM(vm); err != nil {
			return err
		}
		if err := s.startVM(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

func platformOutage(ctx context.Context, s *testbed, _ *rand.Rand, d time.Duration) error {
	if err := s.commit(); err != nil {
		return err
	}
	time.Sleep(d / 5)
	for i, m := range []standin.Mode{standin.Down, standin.Frozen, standin.Previous} {
		s.setPlatformMode(m)
		vm := s.VMs[i%len(s.VMs)]
		if err := s.killVM(vm); err != nil {
			return err
		}
		if err := s.startVM(ctx, vm); err != nil {
			return err
		}
		time.Sleep(d / 5)
	}
	s.setPlatformMode(standin.Up)
	return s.commit()
}

func manifestChurn(_ context.Context, s *testbed, _ *rand.Rand, d time.Duration) error {
	const interval = 2 * time.Second
	for start := time.Now(); time.Since(start) < d; time.Sleep(interval) {
		if err := s.commit(); err != nil {
			return err
		}
	}
	return nil
}

func repartition(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error {
	const spread = time.Second
	w := targetsOf(s.Deployment.Name).searchWorkload
	kinds := []string{splitShard, mergeShard, moveRange}
	for i, start := 0, time.Now(); time.Since(start) < d; i++ {
		if err := s.advanceIndex(ctx, w, spread); err != nil {
			return err
		}
		time.Sleep(spread)
		if err := s.repartition(ctx, w, kinds[i%len(kinds)], rng.IntN(16), spread); err != nil {
			return err
		}
		time.Sleep(spread)
	}
	return nil
}

func orderResend(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error {
	for start := time.Now(); time.Since(start) < d; {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		if err := s.pauseVM(vm, time.Duration(500+rng.IntN(1500))*time.Millisecond); err != nil {
			return err
		}
		vm = s.VMs[rng.IntN(len(s.VMs))]
		if err := s.killVM(vm); err != nil {
			return err
		}
		if err := s.startVM(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

func replies(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error {
	w := targetsOf(s.Deployment.Name).searchWorkload
	faults := []standin.ReplyFault{standin.Truncated, standin.Crossed, standin.Late}
	for i, start := 0, time.Now(); time.Since(start) < d; i++ {
		b := standin.Behaviour{ReplyFault: faults[i%len(faults)], ReplyShare: 0.02, IgnoreSnapshot: i%2 == 1}
		if err := s.Do(ctx, standin.Command{Behaviour: &b}); err != nil {
			return err
		}
		if err := s.advanceIndex(ctx, w, time.Second); err != nil {
			return err
		}
		back := s.Deployment.AddressesOf(w, "")[rng.IntN(20)]
		if err := s.Do(ctx, standin.Command{Addresses: []string{back}, Index: s.indexVersions[w] - 1}); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}
