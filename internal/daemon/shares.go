package daemon

import (
	"slices"

	"github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/policy/connbudget"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/manifest"
)

// connectionShare returns how many connections this VM may open to an upstream. Only gatherers
// may open any to an upstream of a shard.
func (f *Forwarder) connectionShare(u *gen.Upstream) int {
	if f.isShard(string(u.Workload)) {
		n, self := f.fleet.gathererCount()
		if !self {
			return 0
		}
		return connbudget.Share(u.ConnectionLimit, n)
	}
	return connbudget.Connections(u.ConnectionLimit, f.fleet.size(), u.Address, f.node.Name(), f.fleet.names())
}

// holders returns the other VMs that may send requests to upstreams of a single service that this one may
// not send to: they hold a share of a limit, or this VM has no connection to any and they have.
func (f *Forwarder) holders(w *manifest.Workload) []string {
	return append(f.upstreams.LimitHolders(w), f.connectionHolders(w)...)
}

// connectionHolders returns the VMs that hold connections to upstreams of a single service, if these accept
// so few that this VM holds none.
func (f *Forwarder) connectionHolders(w *manifest.Workload) []string {
	if f.isShard(string(w.Name)) {
		return nil
	}
	var out []string
	for _, u := range w.Upstreams {
		if f.connectionShare(u) > 0 {
			return nil
		}
		out = append(out, connbudget.Holders(u.ConnectionLimit, f.fleet.size(), u.Address, f.fleet.names())...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// senderCount returns how many VMs send requests to a service: the gatherers if it has
// shards, else all.
func (f *Forwarder) senderCount(service string) int {
	if f.isShard(service) {
		n, _ := f.fleet.gathererCount()
		return n
	}
	return f.fleet.size()
}

// isShard reports whether a service is a shard of a search, by the newest catalog.
func (f *Forwarder) isShard(service string) bool {
	c := f.catalog.Load()
	return c != nil && c.IsShard(service)
}

// gathererGauge returns 1 if this VM is a gatherer, else 0.
func (f *Forwarder) gathererGauge() float64 {
	if _, is := f.fleet.gathererCount(); is {
		return 1
	}
	return 0
}

// gathererChanged applies and logs that this VM became a gatherer or ceased to be one.
func (f *Forwarder) gathererChanged(is bool) {
	f.upstreams.SharesChanged()
	n, _ := f.fleet.gathererCount()
	f.log.Info("gatherer role changed", "gatherer", is, "gatherers", n, "vms", f.fleet.liveCount())
}

// coldSenders returns the VMs that may send requests to an upstream that is cold; nil while this VM does not
// know the fleet: it has just started, or it reaches none of the VMs that its seeds name.
func (f *Forwarder) coldSenders(u *gen.Upstream) []string {
	if !f.fleet.learned() || len(f.fleet.names()) == 1 && f.fleet.namesOtherSeeds() {
		return nil
	}
	return f.limitSenders(u)
}

// limitSenders returns the VMs that may send requests to an upstream and share its limit.
func (f *Forwarder) limitSenders(u *gen.Upstream) []string {
	v := f.fleet.view.Load()
	if f.isShard(string(u.Workload)) {
		return v.withoutStranded(v.mayGather)
	}
	return v.withoutStranded(v.names)
}
