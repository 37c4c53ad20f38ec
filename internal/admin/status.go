package admin

import "github.com/sardinespindle/sardinespindle/internal/upstream"

// Status is what a VM knows and does now.
type Status struct {
	Name        string           `json:"name"`
	Zone        string           `json:"zone"`
	Incarnation string           `json:"incarnation"`
	UptimeMs    int64            `json:"uptime_ms"`
	Ready       bool             `json:"ready"`
	Stopping    bool             `json:"stopping"`
	InFlight    int64            `json:"in_flight"`
	Generation  int              `json:"generation"`
	HeadDigest  string           `json:"head_digest"`
	Relay       bool             `json:"relay"`
	Facts       int              `json:"facts"`
	Roster      []Member         `json:"roster"`
	Upstreams   []upstream.State `json:"upstreams"`
}

// Member is one VM as this VM sees it.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
}

// ExplainRequest names a request to explain.
type ExplainRequest struct {
	// Caller by name, as in the manifest.
	Caller   string `json:"caller"`
	Workload string `json:"workload"`
	// Body of the request; it decides on the fingerprint.
	Body string `json:"body"`
}

// Explanation says what a request would meet now.
type Explanation struct {
	Generation int `json:"generation"`
	// Verdict is served or refused.
	Verdict string `json:"verdict"`
	// Reasons explain the verdict, one a line.
	Reasons []string `json:"reasons"`
	// DeadlineMs, Trade and Priority as granted.
	DeadlineMs int    `json:"deadline_ms"`
	Trade      string `json:"trade"`
	Priority   int    `json:"priority"`
	// HedgeAfterMs is when a straggler is hedged; 0 for not yet known.
	HedgeAfterMs float64 `json:"hedge_after_ms"`
	// AdmissionRate is the requests a second let through; 0 for no limit.
	AdmissionRate float64 `json:"admission_rate"`
	// Shards lists the replicas of each shard; one entry without name for a single workload.
	Shards []ExplainedShard `json:"shards"`
}

// ExplainedShard is one shard with its replicas.
type ExplainedShard struct {
	Shard    string           `json:"shard"`
	Eligible int              `json:"eligible"`
	Replicas []upstream.State `json:"replicas"`
}
