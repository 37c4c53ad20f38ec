package standin

import (
	"math"
	"math/rand/v2"
	"time"
)

// ReplyFault says how a reply is spoilt.
type ReplyFault string

// Faults of replies.
const (
	// Truncated: the connection is closed in the middle of the body.
	Truncated ReplyFault = "truncated"
	// Crossed: the body and id of an earlier request are sent instead.
	Crossed ReplyFault = "crossed"
	// Late: the reply is sent only after the deadline.
	Late ReplyFault = "late"
)

// Behaviour says how an upstream behaves; the zero value is a healthy one.
type Behaviour struct {
	// ServiceMs is the median service time; 0 for the default.
	ServiceMs float64 `json:"service_ms"`
	// Slow multiplies each service time; 0 for 1.
	Slow float64 `json:"slow"`
	// StragglerShare of the requests take stragglerFactor times as long.
	StragglerShare float64 `json:"straggler_share"`
	// ColdMs after the command, requests take coldFactor times as long.
	ColdMs int `json:"cold_ms"`
	// Draining announces in each reply that the upstream is leaving.
	Draining bool `json:"draining"`
	// LieHealth keeps /healthz and /load at healthy values whatever happens.
	LieHealth bool `json:"lie_health"`
	// Down closes each connection; Hang accepts requests and never replies.
	Down bool `json:"down"`
	Hang bool `json:"hang"`
	// IgnorePin answers with the newest snapshot whatever was asked for.
	IgnorePin bool `json:"ignore_pin"`
	// ReplyFault spoils ReplyShare of the replies.
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

// service draws the service time of one request.
func (b *Behaviour) service(r *rand.Rand, age time.Duration) time.Duration {
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
