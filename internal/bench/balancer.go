package bench

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// balancerLag is how long the balancer still picks a VM that is stopping or was killed.
const balancerLag = time.Second

// balancer imitates the platform's load balancer: it picks VMs at random, and removes one
// balancerLag after its stop starts or it is killed. mu guards all fields.
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

// removeLater removes a VM after balancerLag.
func (b *balancer) removeLater(vm *VM) {
	time.AfterFunc(balancerLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.vms = slices.DeleteFunc(b.vms, func(v *VM) bool { return v == vm })
	})
}

// add lets the balancer pick a VM from now on.
func (b *balancer) add(vm *VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.vms, vm) {
		b.vms = append(b.vms, vm)
	}
}
