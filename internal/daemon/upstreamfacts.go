package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinespindle/sardinespindle/internal/clock"
	"github.com/sardinespindle/sardinespindle/internal/facts"
	"github.com/sardinespindle/sardinespindle/internal/policy/warmup"
	"github.com/sardinespindle/sardinespindle/internal/upstream"
)

const (
	// leavingPrefix starts the key of the fact by which a VM states that an upstream, whose address
	// follows, said in a reply that it leaves. The value is its incarnation. leavingUpstreamTTL is
	// how long it may serve after that; what is published then lacks it.
	leavingPrefix      = "leaving/"
	leavingUpstreamTTL = 30 * time.Second
	// limitPrefix starts the key of the fact by which a VM states which limit an upstream, whose
	// address follows, names in its replies. The value is its incarnation and the limit. limitTTL is
	// longer than the time after which a limit that lasts is announced again.
	limitPrefix = "limit/"
	limitTTL    = time.Minute
	// coldPrefix starts the key of the fact by which a VM states that an upstream, whose address follows,
	// said in a reply that it is cold. The value is the time left in milliseconds and its incarnation.
	// coldTTL is longer than the fact takes to reach every VM.
	coldPrefix = "cold/"
	coldTTL    = 20 * time.Second
)

// announceLeaving announces that an upstream leaves, unless another VM has.
func (f *fleet) announceLeaving(i upstream.Incarnation) {
	value := incarnationValue(i)
	for _, fact := range f.node.Facts().List(leavingPrefix + i.Address) {
		if fact.Key == leavingPrefix+i.Address && fact.Value == value {
			return
		}
	}
	f.node.Facts().Put(leavingPrefix+i.Address, value, leavingUpstreamTTL)
}

// incarnationValue returns an incarnation without its address, for the value of a fact.
func incarnationValue(i upstream.Incarnation) string {
	return strconv.Itoa(i.StartedMs) + " " + i.Identity
}

// parseIncarnation returns the incarnation at an address from the value of a fact; false if it holds
// none.
func parseIncarnation(address, value string) (upstream.Incarnation, bool) {
	started, identity, ok := strings.Cut(value, " ")
	ms, err := strconv.Atoi(started)
	return upstream.Incarnation{Address: address, Identity: identity, StartedMs: ms}, ok && err == nil
}

// watchLeaving calls fn with each upstream that another VM found leaving.
func (f *fleet) watchLeaving(fn func(upstream.Incarnation)) {
	f.node.Facts().Watch(leavingPrefix, func(fact facts.Fact) { f.readLeaving(fact, fn) })
}

// eachLeaving calls fn with each upstream that other VMs are known to have found leaving.
func (f *fleet) eachLeaving(fn func(upstream.Incarnation)) {
	for _, fact := range f.node.Facts().List(leavingPrefix) {
		f.readLeaving(fact, fn)
	}
}

func (f *fleet) readLeaving(fact facts.Fact, fn func(upstream.Incarnation)) {
	i, ok := parseIncarnation(strings.TrimPrefix(fact.Key, leavingPrefix), fact.Value)
	if ok && fact.VM() != f.self.Name {
		fn(i)
	}
}

// announceLimit announces which limit an upstream names; 0 for none.
func (f *fleet) announceLimit(i upstream.Incarnation, perSecond float64) {
	value := strconv.FormatFloat(perSecond, 'g', 4, 64) + " " + incarnationValue(i)
	f.node.Facts().Put(limitPrefix+i.Address, value, limitTTL)
}

// watchLimits calls fn with each limit that another VM states, and how long ago it did.
func (f *fleet) watchLimits(fn func(i upstream.Incarnation, perSecond float64, age time.Duration)) {
	f.node.Facts().Watch(limitPrefix, func(fact facts.Fact) { f.readLimit(fact, fn) })
}

// eachLimit calls fn with each limit that other VMs are known to have stated.
func (f *fleet) eachLimit(fn func(i upstream.Incarnation, perSecond float64, age time.Duration)) {
	for _, fact := range f.node.Facts().List(limitPrefix) {
		f.readLimit(fact, fn)
	}
}

func (f *fleet) readLimit(fact facts.Fact, fn func(i upstream.Incarnation, perSecond float64, age time.Duration)) {
	number, incarnation, _ := strings.Cut(fact.Value, " ")
	perSecond, err := strconv.ParseFloat(number, 64)
	i, ok := parseIncarnation(strings.TrimPrefix(fact.Key, limitPrefix), incarnation)
	if !ok || err != nil || !(perSecond >= 0) || fact.VM() == f.self.Name {
		return
	}
	fn(i, perSecond, clock.Boot()-(fact.Expires-limitTTL))
}

// announceCold announces that an upstream is cold for left, unless another VM has.
func (f *fleet) announceCold(i upstream.Incarnation, left time.Duration) {
	for _, fact := range f.node.Facts().List(coldPrefix + i.Address) {
		told := false
		f.readCold(fact, func(j upstream.Incarnation, other, age time.Duration) { told = j == i && other-age >= left-coldChange })
		if told {
			return
		}
	}
	f.node.Facts().Put(coldPrefix+i.Address, strconv.FormatInt(left.Milliseconds(), 10)+" "+incarnationValue(i), coldTTL)
}

// coldChange is how much longer an upstream is cold than announced until that is announced: two VMs that get
// replies at the same time state times that differ by what the replies took.
const coldChange = 200 * time.Millisecond

// watchCold calls fn with each upstream that another VM states to be cold, the time left when it did, and
// how long ago that was.
func (f *fleet) watchCold(fn func(i upstream.Incarnation, left, age time.Duration)) {
	f.node.Facts().Watch(coldPrefix, func(fact facts.Fact) { f.readCold(fact, fn) })
}

// eachCold calls fn with each upstream that other VMs are known to have stated to be cold.
func (f *fleet) eachCold(fn func(i upstream.Incarnation, left, age time.Duration)) {
	for _, fact := range f.node.Facts().List(coldPrefix) {
		f.readCold(fact, fn)
	}
}

func (f *fleet) readCold(fact facts.Fact, fn func(i upstream.Incarnation, left, age time.Duration)) {
	number, incarnation, _ := strings.Cut(fact.Value, " ")
	ms, err := strconv.ParseInt(number, 10, 64)
	i, ok := parseIncarnation(strings.TrimPrefix(fact.Key, coldPrefix), incarnation)
	if !ok || err != nil || ms <= 0 || ms > warmup.MaxLeft.Milliseconds() || fact.VM() == f.self.Name {
		return
	}
	fn(i, time.Duration(ms)*time.Millisecond, max(clock.Boot()-(fact.Expires-coldTTL), 0))
}
