// Package delegate decides whether a VM hands a whole search to another one: a VM in an
// availability zone without replicas would fetch each part from afar, where another VM
// sends back one merged answer. The package is pure; a Peer is guarded by its owner.
package delegate

import "time"

const (
	// worthwhile is how many more of the shards have to be near the other VM, as a share.
	worthwhile = 0.4
	// suspectFor is how long a VM that failed gets no search; it doubles with each failure.
	suspectFor  = time.Second
	suspectMost = 8 * time.Second
)

// Peer is what one VM knows of another as a gatherer. The zero value is a VM in good order.
type Peer struct {
	// InFlight counts the searches that it has from this VM.
	InFlight int

	failures int
	until    time.Duration // it gets no search before
}

// Answered records an answer.
func (p *Peer) Answered() { p.failures = 0 }

// Failed records at now that the VM did not answer.
func (p *Peer) Failed(now time.Duration) {
	const mostDoublings = 3
	p.until = now + min(suspectFor<<min(p.failures, mostDoublings), suspectMost)
	p.failures++
}

// Usable reports whether the VM may get a search at now.
func (p *Peer) Usable(now time.Duration) bool { return now >= p.until }

// Choose returns the index of one of two VMs, drawn at random, that has fewer searches
// under way; -1 where none is usable. random returns uniform numbers in [0, 1).
func Choose(peers []Peer, now time.Duration, random func() float64) int {
	var usable []int
	for i := range peers {
		if peers[i].Usable(now) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	draw := func() int { return usable[int(random()*float64(len(usable)))] }
	a, b := draw(), draw()
	if peers[b].InFlight < peers[a].InFlight {
		return b
	}
	return a
}
