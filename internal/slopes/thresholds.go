package slopes

import "math"

// Threshold compares the votes that a claim needs with the replies that a phase of
// store-collect needs.
type Threshold struct {
	VMs int
	// Churn is the share of VMs that joins or leaves within one message delay.
	Churn float64
	// Quorum is the votes that a claim needs, Phase the replies that a store or a
	// collect needs.
	Quorum, Phase int
	// Failed is the largest share of crashed VMs that store-collect tolerates at this
	// churn, or -1 if no parameters satisfy its constraints.
	Failed float64
}

const (
	failedStep = 0.001
	maxFailed  = 0.5
)

// Thresholds computes both thresholds of a fleet. That of store-collect is the smallest
// under constraints B to D of Attiya, Kumari, Somani and Welch (Information and
// Computation, 2022), at the largest share of crashes that satisfies them.
// unknownVoters is the number of voters that may be unknown to all guards of a claim's
// quorum.
func Thresholds(vms, unknownVoters int, churn float64) Threshold {
	t := Threshold{VMs: vms, Churn: churn, Quorum: (vms+unknownVoters)/2 + 1, Failed: -1}
	up, down := 1+churn, 1-churn
	for failed := 0.0; failed < maxFailed; failed += failedStep {
		z := down*down*down - failed*up*up*up
		upper := z / (up * up)
		lower := ((1-z)*math.Pow(up, 5) + math.Pow(up, 6)) /
			((down*down*down - failed*up*up) * (up*up + 1))
		if lower >= upper {
			break
		}
		t.Failed = failed
		t.Phase = int(math.Floor(lower*float64(vms))) + 1
	}
	return t
}

// GuardMiss returns the probability that more of a key's guards than tolerated are
// missing from the view of a VM. The guards are drawn at random from n VMs; unseen is
// the number of these VMs that the view lacks.
func GuardMiss(n, unseen, guards, tolerated int) float64 {
	p := 0.0
	for k := tolerated + 1; k <= min(guards, unseen); k++ {
		p += math.Exp(logBinomial(unseen, k) + logBinomial(n-unseen, guards-k) - logBinomial(n, guards))
	}
	return p
}

// logBinomial returns the natural logarithm of n over k, -Inf if k is not in [0, n].
func logBinomial(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
