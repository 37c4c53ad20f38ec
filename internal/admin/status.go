package admin

import "github.com/sardinespindle/sardinespindle/internal/upstream"

// Status is the state of a VM.
type Status struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	UptimeMs    int64  `json:"uptime_ms"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	InFlight    int64  `json:"in_flight"`
	Generation  int    `json:"generation"`
	// Evacuated are the availability zones whose upstreams get no requests.
	Evacuated  []string         `json:"evacuated,omitempty"`
	HeadDigest string           `json:"head_digest"`
	Relay      bool             `json:"relay"`
	Facts      int              `json:"facts"`
	Roster     []Member         `json:"roster"`
	Upstreams  []upstream.State `json:"upstreams"`
}

// Member is a VM in the roster of the VM that reports its status.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
}

// ExplainRequest describes a request to explain.
type ExplainRequest struct {
	// Caller is a name in the manifest.
	Caller   string `json:"caller"`
	Workload string `json:"workload"`
	// Body is the body of the request. The explanation does not depend on it.
	Body string `json:"body"`
}

// Explanation tells how a request would be treated now.
type Explanation struct {
	Generation int `json:"generation"`
	// Verdict is "served" or "refused".
	Verdict string `json:"verdict"`
	// Reasons explains the verdict, and names shards without an eligible upstream.
	Reasons []string `json:"reasons"`
	// DeadlineMs, Trade and Priority are those of the caller's grant.
	DeadlineMs int    `json:"deadline_ms"`
	Trade      string `json:"trade"`
	Priority   int    `json:"priority"`
	// HedgeAfterMs is the age at which a sub-request is hedged; 0 if not yet known.
	HedgeAfterMs float64 `json:"hedge_after_ms"`
	// AdmissionRate is the number of requests a second that are admitted; 0 for no limit.
	AdmissionRate float64 `json:"admission_rate"`
	// Shards has one entry without a name for a single workload.
	Shards []ExplainedShard `json:"shards"`
}

// ExplainedShard lists the replicas of one shard and counts those that are eligible.
type ExplainedShard struct {
	Shard    string           `json:"shard"`
	Eligible int              `json:"eligible"`
	Replicas []upstream.State `json:"replicas"`
}
