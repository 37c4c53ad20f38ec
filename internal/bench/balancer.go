package bench

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// balancerLag is how long the balancer goes on sending to a VM that left or died.
const balancerLag = time.Second

// balancer picks VMs as the platform's balancer does: at random, from a view that
// lags. One lock guards it.
type balancer struct {
	mu  sync.Mutex
	vms []*VM
	rng *rand.Rand
}

func newBalancer(vms []*VM, seed uint64) *balancer {
	return &balancer{vms: slices.Clone(vms), rng: rand.New(rand.NewPCG(seed, 1))}
}

func (b *balancer) pick() *VM {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.vms) == 0 {
		return nil
	}
	return b.vms[b.rng.IntN(len(b.vms))]
}

// removeLater takes a VM out after the balancer's lag.
func (b *balancer) removeLater(vm *VM) {
	time.AfterFunc(balancerLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.vms = slices.DeleteFunc(b.vms, func(v *VM) bool { return v == vm })
	})
}

// add brings a VM back at once.
func (b *balancer) add(vm *VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.vms, vm) {
		b.vms = append(b.vms, vm)
	}
}
