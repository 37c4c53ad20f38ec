package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// ReplyFault is a way in which a reply is wrong.
type ReplyFault string

// Faults of replies.
const (
	// Truncated closes the connection after half of the body.
	Truncated ReplyFault = "truncated"
	// Crossed sends the body and the request id of the previous reply.
	Crossed ReplyFault = "crossed"
	// Late sends the reply after the deadline.
	Late ReplyFault = "late"
)

// Behaviour is how an upstream behaves; the zero value is a healthy one.
type Behaviour struct {
	// ServiceMs is the median service time; 0 for the default.
	ServiceMs float64 `json:"service_ms"`
	// Slow multiplies each service time; 0 for 1.
	Slow float64 `json:"slow"`
	// StragglerShare of the requests take stragglerFactor times as long.
	StragglerShare float64 `json:"straggler_share"`
	// ColdMs is the time after the behaviour is set in which requests take coldFactor times as
	// long.
	ColdMs int `json:"cold_ms"`
	// Draining announces in each reply that the upstream drains.
	Draining bool `json:"draining"`
	// FakeHealth makes /healthz and /load report a healthy, idle upstream even if it is neither;
	// the headers of replies stay true.
	FakeHealth bool `json:"lie_health"`
	// Down closes each connection; Hang accepts requests and never replies.
	Down bool `json:"down"`
	Hang bool `json:"hang"`
	// IgnoreSnapshot replies from the newest snapshot even if the request asks for another one.
	IgnoreSnapshot bool `json:"ignore_pin"`
	// ReplyFault is applied to ReplyShare of the replies.
	ReplyFault ReplyFault `json:"reply_fault"`
	ReplyShare float64    `json:"reply_share"`
}

// DefaultServiceMs is the median service time of a healthy upstream.
const DefaultServiceMs = 10.0

const (
	stragglerFactor = 20
	coldFactor      = 5
	serviceSpread   = 0.25 // standard deviation of the logarithm of the service time
)

// drawServiceTime draws the service time of one request; age is the time since the behaviour
// was set.
func (b *Behaviour) drawServiceTime(r *rand.Rand, age time.Duration) time.Duration {
	ms := b.ServiceMs
	if ms <= 0 {
		ms = DefaultServiceMs
	}
	ms *= math.Exp(serviceSpread * r.NormFloat64())
	if b.Slow > 0 {
		ms *= b.Slow
	}
	if b.StragglerShare > 0 && r.Float64() < b.StragglerShare {
		ms *= stragglerFactor
	}
	if age < time.Duration(b.ColdMs)*time.Millisecond {
		ms *= coldFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}
