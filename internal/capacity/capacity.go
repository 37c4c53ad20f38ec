// Package capacity computes what each role costs a VM at the planned fleet size,
// extrapolating from slopes measured at smaller sizes. It generates the tables of
// the capacity page, so that page and code agree. It has no state: its functions are
// safe for concurrent use, except Rewrite, which replaces a file.
package capacity

import (
	"math"

	"github.com/sardinespindle/sardinespindle/internal/slopes"
)

// Slopes holds the measurements, in the format of slopes.json. Each list is ordered by
// size and not empty; Claims and Fleet need two sizes, because lines are fitted to them.
type Slopes struct {
	Gather   []slopes.GatherResult   `json:"gather"`
	Path     slopes.PathResult       `json:"path"`
	Manifest []slopes.ManifestResult `json:"manifest"`
	Claims   []slopes.ClaimsResult   `json:"claims"`
	Fleet    []slopes.FleetResult    `json:"fleet"`
}

// The planned fleet and its load.
const (
	vms                  = 2_100
	servers              = 79_000
	queriesPerSec        = 2.8e6
	fanOut               = 320
	zones                = 10
	changesPerDay        = 36_000
	restartsPerDay       = 18_000
	failuresPerDay       = 170
	connectionsPerServer = 60
	secondsPerDay        = 86_400
)

// Budget of one VM for everything but the data path.
const (
	cpuBudget       = 0.013 // of a core
	memBudget       = 32e6  // bytes
	bandwidthBudget = 20e3  // bytes per second
	readsBudget     = 2_000 // platform reads per second, whole fleet
)

// Assumptions where the users' requirements give no figure.
const (
	ordersPerSec     = 1_000 // whole fleet
	resendSeconds    = 600
	relaysPerZone    = 2
	watchSeconds     = 30  // that one watch of the platform waits for a change
	vmEntryBytes     = 110 // per VM in the VM list
	factBytes        = 150
	gossipDegree     = 7
	relayDegree      = 2   // largest number of VMs that one VM serves in the relay tree
	serverEntryBytes = 117 // bytes per upstream in the manifest
	serversPerPart   = 20  // in a tree of parts
	treeFanOut       = 64
	partRefBytes     = 90
	shardsPerLeaf    = 7 // a leaf is a VM that serves some shards of a search
	batchMillis      = 2 // window in which sub-requests to one leaf are batched
	guardsPerKey     = 15
	frameCPUMicros   = 15 // per WebSocket frame, both sides
	batchSize        = 11 // sub-requests per HTTP request, if an upstream accepted batches
)

// Row is the cost of one role at the planned size.
type Row struct {
	// Carrier names the code, or describes the design, that performs the role.
	Role, Carrier string
	// Cores, bytes of memory and bytes per second of one VM.
	Cores, Memory, Bandwidth float64
	// Fits is "yes" or "**no**", whether the figures are within the budget of one VM, or
	// "data path", which has no budget.
	Fits string
}

func perSecond(perDay float64) float64 { return perDay / secondsPerDay }

// fitLine fits y = a + b·x by least squares.
func fitLine(xs, ys []float64) (a, b float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// extrapolate returns the value at x of the line fitted to the results, but at least
// the value measured at the largest size.
func extrapolate[T any](results []T, x float64, size, value func(T) float64) float64 {
	var xs, ys []float64
	for _, r := range results {
		xs = append(xs, size(r))
		ys = append(ys, value(r))
	}
	a, b := fitLine(xs, ys)
	return max(a+b*x, ys[len(ys)-1])
}

// doublings returns the binary logarithm of the fleet's size. The cost of gossip is
// linear in it: the degree is constant, and each doubling adds a hop.
func doublings(vms int) float64 { return math.Log2(float64(vms)) }

func fleetSize(r slopes.FleetResult) float64 { return doublings(r.VMs) }

func claimsSize(r slopes.ClaimsResult) float64 { return float64(r.VMs) }

func last[T any](s []T) T { return s[len(s)-1] }

// subrequestCores returns the cores that one VM spends on its share of sub-requests.
func (s Slopes) subrequestCores() float64 {
	perVM := queriesPerSec * fanOut / vms
	return perVM * (last(s.Gather).CPUMicros + s.Path.CPUMicros) / 1e6
}
