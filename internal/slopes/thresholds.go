package slopes

import "math"

// Threshold compares what a quorum of claims and a phase of store-collect need.
type Threshold struct {
	// VMs of the fleet, and the share that joins or leaves within a message delay.
	VMs   int
	Churn float64
	// Quorum is what a claim needs; Phase is what a store or collect needs.
	Quorum, Phase int
	// Failed is the share of crashed VMs that store-collect bears at this churn; it
	// is below 0 where no parameters satisfy its constraints.
	Failed float64
}

const (
	failedStep = 0.001
	failedMost = 0.5
)

// Thresholds computes the least phase threshold that the constraints B to D of
// Attiya, Kumari, Somani and Welch (Information and Computation, 2022) admit, for
// the largest share of crashes that they bear.
func Thresholds(vms, drift int, churn float64) Threshold {
	t := Threshold{VMs: vms, Churn: churn, Quorum: (vms+drift)/2 + 1, Failed: -1}
	up, down := 1+churn, 1-churn
	for failed := 0.0; failed < failedMost; failed += failedStep {
		z := down*down*down - failed*up*up*up
		most := z / (up * up)
		least := ((1-z)*math.Pow(up, 5) + math.Pow(up, 6)) /
			((down*down*down - failed*up*up) * (up*up + 1))
		if least >= most {
			break
		}
		t.Failed = failed
		t.Phase = int(math.Floor(least*float64(vms))) + 1
	}
	return t
}

// GuardMiss returns the chance that more than miss of g guards, drawn at random
// from n VMs of which differ are not in another VM's view, are among the latter.
func GuardMiss(n, differ, g, miss int) float64 {
	p := 0.0
	for k := miss + 1; k <= min(g, differ); k++ {
		p += math.Exp(choose(differ, k) + choose(n-differ, g-k) - choose(n, g))
	}
	return p
}

// choose returns the logarithm of the binomial coefficient.
func choose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
