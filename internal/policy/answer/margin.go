package answer

import "time"

const (
	// sendMargin is reserved for the queues of both ends, beyond what is known of the way.
	sendMargin = 5 * time.Millisecond
	// defaultRoundTrip is assumed while the round trip to a caller is not known.
	defaultRoundTrip = 6 * time.Millisecond
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

// Path describes the way between this VM and a caller.
type Path struct {
	// RoundTrip is the time of the network for both directions; 0 if it is not known.
	RoundTrip time.Duration
	// Opened says that the caller opened its connection for this request, which took one more
	// round trip.
	Opened bool
	// Transmission is how long the answer takes to leave this VM.
	Transmission time.Duration
}

// DecideBy returns how long after a request's start its answer must be decided on to meet the
// objective, if it then takes returnTime until it is written to the caller.
func DecideBy(objective time.Duration, p Path, returnTime time.Duration) time.Duration {
	roundTrip := p.RoundTrip
	if roundTrip <= 0 {
		roundTrip = defaultRoundTrip
	}
	if p.Opened {
		roundTrip *= 2
	}
	return objective - min(roundTrip+p.Transmission+sendMargin+returnTime, objective/maxReserveDivisor)
}
