package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

const (
	// rounds is how often each policy runs if both are compared.
	rounds = 2
	// settleTime is how long the load continues after the script and the planned duration, so
	// that after-effects of the script are measured.
	settleTime = time.Second
	// A script times out after scriptTimeoutFactor times its planned duration, plus a
	// minute.
	scriptTimeoutFactor = 6
	sampleInterval      = 250 * time.Millisecond
)

// Policies of a run.
const (
	Current  = "current"
	Baseline = "baseline"
)

// RunOptions describes one run of an experiment.
type RunOptions struct {
	Options
	Experiment string
	// Policy is current, baseline or both.
	Policy   string
	Duration time.Duration
	Out      string
}

// Run runs an experiment and writes its results. If both policies run, they take turns,
// the second round in the opposite order.
func Run(ctx context.Context, o RunOptions, progress func(string)) ([]*Result, error) {
	e, err := Find(o.Experiment)
	if err != nil {
		return nil, err
	}
	turns := []string{o.Policy}
	if o.Policy == Both {
		turns = []string{Current, Baseline, Baseline, Current}
		o.Duration /= rounds
	}
	byPolicy := map[string]*measurements{}
	var order []string
	for i, policy := range turns {
		p := o
		p.Options.Policy = policy
		p.Dir = filepath.Join(o.Dir, fmt.Sprintf("%d-%s", i+1, policy))
		p.Seed = o.Seed + uint64(i/2)
		progress(fmt.Sprintf("%s, %s, %d VMs, seed %d", e.Name, policy, o.VMs, p.Seed))
		m, err := runOnce(ctx, e, p)
		if err != nil {
			return nil, err
		}
		if byPolicy[policy] == nil {
			byPolicy[policy] = m
			order = append(order, policy)
			continue
		}
		byPolicy[policy].merge(m)
	}
	var results []*Result
	for _, policy := range order {
		results = append(results, byPolicy[policy].result(o, policy))
	}
	if err := writeResults(o.Out, results); err != nil {
		return nil, err
	}
	for policy, m := range byPolicy {
		if err := writeRequests(requestsFile(o.Out, policy), m.attempts); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// runOnce runs an experiment on a new cluster and checks the outcome.
func runOnce(ctx context.Context, e Experiment, o RunOptions) (*measurements, error) {
	c, err := NewCluster(ctx, o.Options)
	if err != nil {
		return nil, err
	}
	time.Sleep(voteAfter)
	m, err := newTestbed(c, o.Seed).runExperiment(ctx, e, o)
	if err = errors.Join(err, c.Close()); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Name, err)
	}
	return m, nil
}

// runExperiment runs the load, the script and the sampling concurrently.
func (s *testbed) runExperiment(ctx context.Context, e Experiment, o RunOptions) (*measurements, error) {
	var streams []Stream
	if !e.OnlyStreams {
		streams = ordinaryLoad(s.Deployment.Name)
	}
	if e.Streams != nil {
		streams = append(streams, e.Streams(s.Deployment.Name)...)
	}
	l := newLoad(s.Deployment.loadView(), s.balancer, o.Seed)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sampleCtx, stopSamples := context.WithCancel(ctx)
	defer stopSamples()
	var loading, sampling sync.WaitGroup
	before := s.usage()
	start := time.Now()
	loading.Go(func() { l.run(loadCtx, streams) })
	for _, vm := range s.VMs {
		if e.SkipSampling {
			break
		}
		sampling.Go(func() { s.sample(sampleCtx, vm) })
	}
	err := s.script(ctx, e, o)
	time.Sleep(max(0, o.Duration-time.Since(start)) + settleTime)
	stopLoad()
	elapsed := time.Since(start)
	used := s.usageSince(before)
	loading.Wait()
	stopSamples()
	sampling.Wait()
	if err != nil {
		return nil, err
	}
	log, err := s.Log(ctx)
	if err != nil {
		return nil, err
	}
	attempts, dropped := l.results()
	busiest, _ := s.Platform.Reads()
	m := &measurements{attempts: attempts, dropped: dropped, counts: log.Counts, elapsed: elapsed, rounds: 1, reads: busiest, usage: used, shards: map[string]int{}}
	s.recorder.update(func(j *Journal) {
		m.verdict = Check(Evidence{Attempts: attempts, Log: log, Journal: *j, Maps: s.Deployment.Maps})
	})
	for _, p := range s.Deployment.Maps {
		m.shards[string(p.Workload)] = len(p.Shards)
	}
	return m, nil
}

// script runs the experiment's script under its timeout.
func (s *testbed) script(ctx context.Context, e Experiment, o RunOptions) error {
	if e.Script == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration*scriptTimeoutFactor+time.Minute)
	defer cancel()
	rng := rand.New(rand.NewPCG(o.Seed, standin.Hash64(e.Name)))
	return e.Script(ctx, s, rng, o.Duration)
}

type status struct {
	Incarnation string `json:"incarnation"`
	Generation  int    `json:"generation"`
}

// sample reads the manifest generation of a VM every sampleInterval, while it is ready.
func (s *testbed) sample(ctx context.Context, vm *VM) {
	for ; ctx.Err() == nil; time.Sleep(sampleInterval) {
		at := time.Now()
		var st status
		if s.get(ctx, "http://"+vm.Admin+"/readyz", nil) != nil {
			continue
		}
		if s.get(ctx, "http://"+vm.Admin+"/v1/status", &st) != nil {
			continue
		}
		s.recorder.update(func(j *Journal) {
			j.Samples = append(j.Samples, Sample{VM: vm.Name, Incarnation: st.Incarnation, Generation: st.Generation, At: at})
		})
	}
}

// loadView copies the parts of the deployment that the load reads. No script changes them.
func (d *Deployment) loadView() *Deployment {
	return &Deployment{
		Name:      d.Name,
		Workloads: append([]manifest.Workload{}, d.Workloads...),
		Callers:   append([]manifest.Caller{}, d.Callers...),
	}
}
