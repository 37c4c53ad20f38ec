package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/internal/standin"
)

// meanFaultInterval is the mean of the random waits before each fault of one actor.
const meanFaultInterval = 400 * time.Millisecond

// faultFunc injects one fault, of the chaos experiment or of the soak.
type faultFunc func(ctx context.Context, rng *rand.Rand) error

// chaos injects faults at random. Six actors run concurrently: two stop, kill and pause
// VMs, each in one half of the fleet; one partitions the fleet; one changes upstreams, index
// versions and partition maps; one commits manifests and breaks the platform; one breaks
// single links. At the end the platform and the upstreams work again.
func chaos(ctx context.Context, s *testbed, rng *rand.Rand, d time.Duration) error {
	half := len(s.VMs) / 2
	actors := [][]faultFunc{
		s.vmFaults(s.VMs[:half]),
		s.vmFaults(s.VMs[half:]),
		{s.chaosPartition},
		{s.chaosUpstreams, s.chaosUpstreams, s.chaosIndex, s.chaosMap},
		{s.chaosCommit, s.chaosCommit, s.chaosPlatform},
		{s.chaosLink},
	}
	group, actCtx := errgroup.WithContext(ctx)
	for _, steps := range actors {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		group.Go(func() error { return runActor(actCtx, steps, own, d) })
	}
	err := group.Wait()
	s.setPlatformMode(standin.Up)
	if err != nil {
		return err
	}
	return s.Do(ctx, standin.Command{Behaviour: &standin.Behaviour{}})
}

// runActor takes random steps at random intervals until d has passed.
func runActor(ctx context.Context, steps []faultFunc, rng *rand.Rand, d time.Duration) error {
	for start := time.Now(); time.Since(start) < d; {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)))
		if err := steps[rng.IntN(len(steps))](ctx, rng); err != nil {
			return err
		}
	}
	return nil
}

// vmFaults returns the faults of the given VMs. pause is listed twice, so that it is drawn
// as often as kill and stop together.
func (s *testbed) vmFaults(vms []*VM) []faultFunc {
	pick := func(rng *rand.Rand) *VM { return vms[rng.IntN(len(vms))] }
	pause := func(_ context.Context, rng *rand.Rand) error {
		return s.pauseVM(pick(rng), time.Duration(200+rng.IntN(2800))*time.Millisecond)
	}
	kill := func(ctx context.Context, rng *rand.Rand) error {
		vm := pick(rng)
		if err := s.killVM(vm); err != nil {
			return err
		}
		return s.startVM(ctx, vm)
	}
	stop := func(ctx context.Context, rng *rand.Rand) error {
		vm := pick(rng)
		if err := s.stopVM(vm); err != nil {
			return err
		}
		return s.startVM(ctx, vm)
	}
	return []faultFunc{pause, pause, kill, stop}
}

// chaosUpstreams resets all upstreams, then breaks one to five of them. It draws only
// one of each pair, so that every shard keeps a replica that works.
func (s *testbed) chaosUpstreams(ctx context.Context, rng *rand.Rand) error {
	kinds := []standin.Behaviour{
		{Down: true},
		{Hang: true},
		{Slow: 10},
		{StragglerShare: 0.1},
		{ColdMs: 2000},
		{Draining: true, FakeHealth: true},
		{IgnoreSnapshot: true},
		{ReplyFault: standin.Truncated, ReplyShare: 0.3},
		{ReplyFault: standin.Crossed, ReplyShare: 0.3},
		{ReplyFault: standin.Late, ReplyShare: 0.3},
	}
	if err := s.Do(ctx, standin.Command{Behaviour: &standin.Behaviour{}}); err != nil {
		return err
	}
	for range 1 + rng.IntN(5) {
		u := s.Deployment.Upstreams[rng.IntN(len(s.Deployment.Upstreams)/replicas)*replicas]
		if err := s.setBehaviour(ctx, kinds[rng.IntN(len(kinds))], u.Address); err != nil {
			return err
		}
	}
	time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	return nil
}

func (s *testbed) chaosIndex(ctx context.Context, rng *rand.Rand) error {
	w := s.workloads[rng.IntN(len(s.workloads))]
	return s.advanceIndex(ctx, w, time.Second)
}

func (s *testbed) chaosMap(ctx context.Context, rng *rand.Rand) error {
	kinds := []string{splitShard, mergeShard, moveRange}
	w := targetsOf(s.Deployment.Name).searchWorkload
	return s.repartition(ctx, w, kinds[rng.IntN(len(kinds))], rng.IntN(16), time.Second)
}

func (s *testbed) chaosCommit(context.Context, *rand.Rand) error {
	time.Sleep(time.Second)
	return s.commit()
}

func (s *testbed) chaosPartition(_ context.Context, rng *rand.Rand) error {
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	n := 1 + rng.IntN(len(s.VMs)-1)
	s.setPartition(n, true)
	time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	s.setPartition(n, false)
	return nil
}

// chaosLink stalls one direction of the link between two VMs, delays both, or resets
// its connections.
func (s *testbed) chaosLink(_ context.Context, rng *rand.Rand) error {
	a, b := rng.IntN(len(s.VMs)), rng.IntN(len(s.VMs))
	r := s.links[a][b]
	if r == nil {
		return nil // a VM has no link to itself
	}
	faults := []relay.Fault{{StallToTarget: true}, {StallFromTarget: true}, {Delay: 50 * time.Millisecond}, {Delay: 500 * time.Millisecond}}
	if n := rng.IntN(len(faults) + 1); n < len(faults) {
		r.Impair(&faults[n])
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		r.Impair(nil)
		return nil
	}
	r.Reset()
	return nil
}

// chaosPlatform makes the platform fail for up to 3 s; a VM that starts meanwhile
// learns the manifest from its peers.
func (s *testbed) chaosPlatform(_ context.Context, rng *rand.Rand) error {
	modes := []standin.Mode{standin.Down, standin.Frozen, standin.Previous}
	s.setPlatformMode(modes[rng.IntN(len(modes))])
	time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	s.setPlatformMode(standin.Up)
	return nil
}
