package answer

import "time"

const (
	// callerReserve is the part of the objective that a request and its answer spend between
	// the caller and the VM, which this VM does not see: twice 3 ms at the users' sites.
	callerReserve = 6 * time.Millisecond
	// maxReserveDivisor bounds the time reserved: 1/maxReserveDivisor of the objective.
	maxReserveDivisor = 3
	// An estimate follows the returnQuantile of the samples in steps of 1/returnStepDivisor of
	// itself, at least minReturnStep.
	returnQuantile    = 0.9
	returnStepDivisor = 8
	minReturnStep     = 200 * time.Microsecond
	// initialReturn is the estimate without samples.
	initialReturn = 6 * time.Millisecond
)

// ReturnTime estimates the time from the decision to answer until the answer has been written
// to the caller: a high quantile of the samples. The zero value has no samples. It is not safe
// for concurrent use.
type ReturnTime struct {
	estimate time.Duration
	known    bool
}

// Observe records how long one answer took.
func (r *ReturnTime) Observe(took time.Duration) {
	e := r.Estimate()
	step := max(e/returnStepDivisor, minReturnStep)
	if took > e {
		e += time.Duration(returnQuantile * float64(step))
	} else {
		e -= time.Duration((1 - returnQuantile) * float64(step))
	}
	r.estimate, r.known = max(e, 0), true
}

// Estimate returns the estimated time.
func (r *ReturnTime) Estimate() time.Duration {
	if !r.known {
		return initialReturn
	}
	return r.estimate
}

// DecideBy returns how long after a request's start its answer must be decided on to meet the
// objective, if it then takes returnTime to reach the caller.
func DecideBy(objective, returnTime time.Duration) time.Duration {
	return objective - min(callerReserve+returnTime, objective/maxReserveDivisor)
}
