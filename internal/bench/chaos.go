package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
)

// chaosEach is the mean time between two faults.
const chaosEach = 400 * time.Millisecond

// step is one fault of the chaos experiment.
type step func(ctx context.Context, s *stage, rng *rand.Rand) error

// chaos draws faults at random. A fault that takes time is over before the next begins,
// but for those of upstreams and of the platform, which last until the next of their kind.
func chaos(ctx context.Context, s *stage, rng *rand.Rand, d time.Duration) error {
	steps := []step{
		chaosUpstreams, chaosUpstreams, chaosUpstreams,
		chaosIndex, chaosMap, chaosCommit, chaosPause, chaosKill, chaosStop, chaosSplit, chaosPlatform,
	}
	for begin := time.Now(); time.Since(begin) < d; {
		if err := steps[rng.IntN(len(steps))](ctx, s, rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(chaosEach)))
	}
	s.outage(standin.Up)
	return s.Do(ctx, standin.Command{Behaviour: &standin.Behaviour{}})
}

func someVM(s *stage, rng *rand.Rand) *VM { return s.VMs[rng.IntN(len(s.VMs))] }

// chaosUpstreams breaks one replica of some shards, and heals the others.
func chaosUpstreams(ctx context.Context, s *stage, rng *rand.Rand) error {
	kinds := []standin.Behaviour{
		{Down: true},
		{Hang: true},
		{Slow: 10},
		{StragglerShare: 0.1},
		{ColdMs: 2000},
		{Draining: true, LieHealth: true},
		{IgnorePin: true},
		{ReplyFault: standin.Truncated, ReplyShare: 0.3},
		{ReplyFault: standin.Crossed, ReplyShare: 0.3},
		{ReplyFault: standin.Late, ReplyShare: 0.3},
	}
	if err := s.Do(ctx, standin.Command{Behaviour: &standin.Behaviour{}}); err != nil {
		return err
	}
	for range 1 + rng.IntN(5) {
		u := s.Deployment.Upstreams[rng.IntN(len(s.Deployment.Upstreams)/replicas)*replicas]
		if err := s.behave(ctx, kinds[rng.IntN(len(kinds))], u.Address); err != nil {
			return err
		}
	}
	return nil
}

func chaosIndex(ctx context.Context, s *stage, rng *rand.Rand) error {
	w := s.Deployment.Maps[rng.IntN(len(s.Deployment.Maps))].Workload
	return s.advance(ctx, string(w), time.Second)
}

func chaosMap(ctx context.Context, s *stage, rng *rand.Rand) error {
	hows := []string{splitShard, mergeShard, moveRange}
	w := leadsOf(s.Deployment.Name).search
	return s.repartition(ctx, w, hows[rng.IntN(len(hows))], rng.IntN(16), time.Second)
}

func chaosCommit(_ context.Context, s *stage, _ *rand.Rand) error { return s.commit() }

func chaosPause(_ context.Context, s *stage, rng *rand.Rand) error {
	return s.pauseVM(someVM(s, rng), time.Duration(200+rng.IntN(2800))*time.Millisecond)
}

func chaosKill(ctx context.Context, s *stage, rng *rand.Rand) error {
	vm := someVM(s, rng)
	if err := s.killVM(vm); err != nil {
		return err
	}
	return s.startVM(ctx, vm)
}

func chaosStop(ctx context.Context, s *stage, rng *rand.Rand) error {
	vm := someVM(s, rng)
	if err := s.stopVM(vm); err != nil {
		return err
	}
	return s.startVM(ctx, vm)
}

func chaosSplit(_ context.Context, s *stage, rng *rand.Rand) error {
	n := 1 + rng.IntN(len(s.VMs)-1)
	s.split(n, true)
	time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	s.split(n, false)
	return nil
}

// chaosPlatform toggles an outage; a VM that starts meanwhile learns from its peers.
func chaosPlatform(_ context.Context, s *stage, rng *rand.Rand) error {
	modes := []standin.Mode{standin.Up, standin.Up, standin.Down, standin.Frozen, standin.Older}
	s.outage(modes[rng.IntN(len(modes))])
	return nil
}
