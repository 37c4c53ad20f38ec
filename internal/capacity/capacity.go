// Package capacity works out what each role costs a VM at the size to come, from
// slopes measured at small sizes. It is arithmetic only: the page's tables are its
// output, so page and code cannot drift. It has no state.
package capacity

import (
	"math"

	"github.com/sardinespindle/sardinespindle/internal/slopes"
)

// Slopes are the measurements that the page rests on.
type Slopes struct {
	Gather   []slopes.GatherResult   `json:"gather"`
	Path     slopes.PathResult       `json:"path"`
	Manifest []slopes.ManifestResult `json:"manifest"`
	Claims   []slopes.ClaimsResult   `json:"claims"`
	Fleet    []slopes.FleetResult    `json:"fleet"`
}

// The size to come.
const (
	vms            = 2_100
	servers        = 79_000
	queriesPerSec  = 2.8e6
	fanOut         = 320
	zones          = 10
	changesPerDay  = 36_000
	restartsPerDay = 18_000
	failuresPerDay = 170
	connections    = 60 // a server
	secondsPerDay  = 86_400
)

// What one VM may spend on control.
const (
	cpuBudget   = 0.013 // of a core
	memBudget   = 32e6  // bytes
	bytesBudget = 20e3  // a second
	readsBudget = 2_000 // platform reads a second, whole fleet
)

// What is assumed where the users give no figure.
const (
	ordersPerSec   = 1_000 // whole fleet
	resendWindow   = 600   // seconds
	relaysPerZone  = 2
	watchSeconds   = 30
	vmEntryBytes   = 110 // of the VM list
	factBytes      = 150
	gossipDegree   = 7
	relayDegree    = 2   // VMs that one VM serves in the relay tree, at most
	serverEntry    = 117 // bytes of one upstream in the manifest
	leafServers    = 20  // servers of one part of a part tree
	treeFanOut     = 64
	partRefBytes   = 90
	shardsPerLeaf  = 7 // shards that one leaf VM serves
	batchMillis    = 2 // window in which sub-requests to one leaf are batched
	guardsPerKey   = 15
	frameCPUMicros = 15 // of one WebSocket frame, both sides
	batched        = 11 // sub-requests to one server in one window, where an upstream takes batches
)

// Row is one role at the size to come.
type Row struct {
	Role, Carrier string
	// Cores, Bytes of memory and Bytes a second of one VM.
	Cores, Memory, Bandwidth float64
	// Fits says whether the figures are within the budget of control; the data path
	// has none.
	Fits string
}

func perSecond(perDay float64) float64 { return perDay / secondsPerDay }

// line fits y = a + b·x by least squares.
func line(xs, ys []float64) (a, b float64) {
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

// at extrapolates a fitted line, never below the largest size measured.
func at[T any](results []T, x float64, size, value func(T) float64) float64 {
	var xs, ys []float64
	for _, r := range results {
		xs = append(xs, size(r))
		ys = append(ys, value(r))
	}
	a, b := line(xs, ys)
	return max(a+b*x, ys[len(ys)-1])
}

// doublings is the size of a fleet as gossip sees it: its degree is constant, and the
// hops grow with each doubling.
func doublings(vms int) float64 { return math.Log2(float64(vms)) }

func fleetSize(r slopes.FleetResult) float64 { return doublings(r.VMs) }

func claimsSize(r slopes.ClaimsResult) float64 { return float64(r.VMs) }

func last[T any](s []T) T { return s[len(s)-1] }

func (s Slopes) subrequestCores() float64 {
	perVM := queriesPerSec * fanOut / vms
	return perVM * (last(s.Gather).CPUMicros + s.Path.CPUMicros) / 1e6
}
