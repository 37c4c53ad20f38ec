package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardinespindle/sardinespindle/internal/bench"
)

func addMemory(ctx context.Context, app *kingpin.Application) {
	cmd := app.Command("memory", "Measure the memory and the processor time of daemons that serve a catalog.")
	var o bench.MemoryOptions
	cmd.Flag("vms", "Number of VMs.").Default("12").IntVar(&o.VMs)
	cmd.Flag("shards", "Number of shards of a search at the start.").Default("90").IntVar(&o.Shards)
	cmd.Flag("later-shards", "Number of shards after the repartitioning.").Default("135").IntVar(&o.LaterShards)
	cmd.Flag("connections", "Connections that one upstream accepts.").Default("30").IntVar(&o.Connections)
	cmd.Flag("idle", "Time without requests.").Default("15s").DurationVar(&o.Idle)
	cmd.Flag("load", "Time under load, with a repartitioning.").Default("30s").DurationVar(&o.Load)
	cmd.Flag("rate", "Requests a second to the whole fleet.").Default("45").Float64Var(&o.Rate)
	cmd.Flag("out", "Directory for settings and logs.").Default("out/memory").StringVar(&o.Dir)
	cmd.Flag("bin-dir", "Directory with the daemon's binary.").Default("bin").StringVar(&o.BinDir)
	each := cmd.Flag("each", "Print the peak and the processor time of each VM.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		r, err := bench.Memory(ctx, o)
		if err != nil {
			return err
		}
		fmt.Printf("%d requests answered, %d not\n", r.Answered, r.Failed)
		printMemory("started", nil, r.Started)
		printMemory("idle", r.Started, r.Idle)
		printMemory("loaded", r.Idle, r.Loaded)
		for i, s := range r.Loaded {
			if *each {
				fmt.Printf("VM %2d: idle %5.1f MB, peak %5.1f, processor %7.1f ms\n", i+1, r.Idle[i].RSS, s.Peak, s.CPUMs)
			}
		}
		return nil
	})
}

// printMemory prints the mean of the samples and the largest peak; processor time is that since
// the samples before.
func printMemory(stage string, before, samples []bench.MemorySample) {
	var mean bench.MemorySample
	var peak float64
	n := float64(len(samples))
	for i, s := range samples {
		mean.RSS += s.RSS / n
		mean.Anon += s.Anon / n
		mean.File += s.File / n
		mean.Peak += s.Peak / n
		mean.CPUMs += s.CPUMs / n
		if before != nil {
			mean.CPUMs -= before[i].CPUMs / n
		}
		peak = max(peak, s.Peak)
	}
	fmt.Printf("%-8s RSS %5.1f MB  anon %5.1f  file %5.1f  peak %5.1f (largest %5.1f)  processor %7.1f ms\n",
		stage, mean.RSS, mean.Anon, mean.File, mean.Peak, peak, mean.CPUMs)
}
