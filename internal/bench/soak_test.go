package bench

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/platform"
)

var _ = Describe("The soak", func() {
	at := time.Now()
	vm := &soakVM{name: "vm"}
	find := func(id, body, signatures, missing string) *soakRequest {
		h := http.Header{}
		h.Set(platform.CallerHeaders.Signatures, signatures)
		if missing != "" {
			h.Set(platform.CallerHeaders.Missing, missing)
		}
		return &soakRequest{id: id, kind: "find", vm: vm, sent: at, end: at.Add(time.Millisecond), status: http.StatusOK, header: h, body: body}
	}
	const all = "stamp-i-0-1,stamp-i-3-1,stamp-i-8-1,stamp-i-10-2"
	records := replyBody("shard-0", "x")
	// greatest returns the greatest records of request x of the given shards.
	greatest := func(top int, shards ...int) string {
		var out []string
		for _, n := range shards {
			for body := replyBody(fmt.Sprintf("shard-%d", n), "x"); body != ""; body = body[recordSize:] {
				out = append(out, body[:recordSize])
			}
		}
		slices.Sort(out)
		slices.Reverse(out)
		return strings.Join(out[:min(top, len(out))], "")
	}
	// Soaks of over 84 shards did not start: the addresses of one net did not reach.
	It("has a valid address for each server and each relay of the largest number of shards", func() {
		s := &soak{Cluster: &Cluster{}}
		seen := map[netip.AddrPort]bool{}
		for i := range MaxSoakShards*soakReplicas + soakOrderServers {
			for _, net := range []int{serverNet, relayNet} {
				address, err := netip.ParseAddrPort(s.serverAddress(net, i, upstreamPort))
				Expect(err).NotTo(HaveOccurred())
				Expect(seen).NotTo(HaveKey(address))
				seen[address] = true
			}
		}
	})

	quick := func(body, signatures, missing string) *soakRequest {
		q := find("x", body, signatures, missing)
		q.kind = "quick"
		if signatures == "" {
			q.header.Del(platform.CallerHeaders.Signatures)
		}
		return q
	}

	DescribeTable("when it checks one answer", func(q *soakRequest, ok bool) {
		Expect(answerProblem(q, DefaultSoakShards) == "").To(Equal(ok), answerProblem(q, DefaultSoakShards))
	},
		Entry("accepts a correct answer", find("x", greatest(3, 0, 1, 2, 3), all, ""), true),
		Entry("accepts an answer of the later half of the shards", find("x", greatest(3, 2, 3), "stamp-i-6-1,stamp-i-9-1", ""), true),
		Entry("reports an answer of the earlier half of the shards", find("x", greatest(3, 0, 1), "stamp-i-0-1,stamp-i-3-1", ""), false),
		Entry("reports parts of two sets in one answer", find("x", greatest(3, 1, 2, 3), "stamp-i-3-1,stamp-i-6-1,stamp-i-9-1", ""), false),
		Entry("reports a part that is in an answer twice", find("x", greatest(3, 2, 3), "stamp-i-6-1,stamp-i-9-1,stamp-i-6-1,stamp-i-9-1", ""), false),
		Entry("reports records that lack a greater one", find("x", greatest(4, 0, 1, 2, 3)[recordSize:], all, ""), false),
		Entry("reports fewer records than the search returns", find("x", greatest(1, 0, 1, 2, 3), all, ""), false),
		Entry("accepts the search below with fewer records", quick(greatest(1, 0, 1, 2, 3), all, ""), true),
		Entry("accepts the search above below it", quick(greatest(3, 0, 1, 2, 3), all, ""), true),
		Entry("accepts the single service's answer below it", quick("done x", "", ""), true),
		Entry("reports another number of records below it", quick(greatest(2, 0, 1, 2, 3), all, ""), false),
		Entry("reports a single service's answer as a search's", find("x", "done x", "", ""), false),
		Entry("accepts an answer that reports its missing shards", find("x", records, "stamp-i-0-1", "3"), true),
		Entry("reports records of another request", find("x", replyBody("shard-0", "y"), all, ""), false),
		Entry("reports an answer that does not report its missing shards", find("x", records, "stamp-i-0-1", ""), false),
		Entry("reports records of a shard that did not sign", find("x", replyBody("shard-1", "x"), "stamp-i-0-1", "3"), false),
		Entry("reports a truncated record", find("x", records[:20], all, ""), false),
		Entry("reports records in ascending order", find("x", records[16:]+records[:16], all, ""), false),
		Entry("accepts the answer to an order", &soakRequest{id: "x", kind: "order", body: "done x"}, true),
		Entry("reports the answer to another order", &soakRequest{id: "x", kind: "order", body: "done y"}, false),
	)

	DescribeTable("when it compares what a caller saw with the runs at servers", func(q soakRequest, runs int, kind string) {
		e := newEvidence(DefaultSoakShards)
		q.id, q.vm = "x", vm
		if q.sent.IsZero() {
			q.sent, q.end = at, at.Add(time.Millisecond)
		}
		for i := range runs {
			e.recordArrival(arrival{id: "x", service: "orders", server: fmt.Sprint(i), at: at, deadline: time.Second, ran: true})
		}
		e.recordResult(&q)
		r := e.evaluate(1, nil)
		if kind == "" {
			Expect(r.Total()).To(BeZero())
			return
		}
		Expect(r.Violations).To(HaveKey(kind))
	},
		Entry("accepts an order that ran once", soakRequest{kind: "order", status: 502}, 1, ""),
		Entry("reports an order that ran twice", soakRequest{kind: "order", status: 502}, 2, ranTwice),
		Entry("reports status 503 for a request that ran", soakRequest{kind: "read", status: 503}, 1, refusedButRan),
		Entry("reports status 429 for an order that ran", soakRequest{kind: "order", status: 429}, 1, refusedButRan),
		Entry("accepts status 429 of a server for a read that ran", soakRequest{kind: "read", status: 429}, 1, ""),
		Entry("accepts status 503 for a request that did not run", soakRequest{kind: "read", status: 503}, 0, ""),
		Entry("reports status 404 for a published route", soakRequest{kind: "read", status: 404}, 0, deniedRoute),
		Entry("reports a request that has no answer long after its deadline", soakRequest{kind: "read", sent: at, end: at.Add(2 * time.Second), err: errors.New("time-out")}, 1, lateReply),
		Entry("reports a closed connection for a request that ran", soakRequest{kind: "read", err: io.EOF}, 1, cutOff),
		Entry("accepts a closed connection for a request that did not run", soakRequest{kind: "read", err: io.EOF}, 0, ""),
	)

	DescribeTable("when it checks the shards of an answer", func(signatures, missing, body string, violations ...string) {
		e := newEvidence(DefaultSoakShards)
		e.recordResult(find("x", body, signatures, missing))
		Expect(e.violations).To(HaveLen(len(violations)))
		for _, kind := range violations {
			Expect(e.violations).To(HaveKey(kind))
		}
	},
		Entry("accepts the minimum share", "stamp-i-0-1,stamp-i-3-1", "2", greatest(3, 0, 1)),
		Entry("reports fewer shards, even if it is said that the others are missing", "stamp-i-0-1", "3", records, belowMinimum),
	)

	// Checks at the end of a run named their own time, at which the logs show only that all VMs stop.
	It("says when a late request was sent, and how it was answered", func() {
		e := newEvidence(DefaultSoakShards)
		e.recordResult(&soakRequest{id: "x", kind: "order", vm: vm, sent: at, end: at.Add(2 * time.Second), status: http.StatusOK, body: "done x"})
		Expect(e.evaluate(1, nil).Examples).To(ConsistOf(ContainSubstring("sent at " + at.Format(clockFormat) + ": 2s, status 200")))
	})

	It("reports a server's deadline that is longer than the caller's", func() {
		e := newEvidence(DefaultSoakShards)
		e.recordArrival(arrival{id: "x", at: at, deadline: 2 * time.Second})
		Expect(e.violations).To(HaveKey(overTime))
	})

	It("reports a request that reaches a server long after the server's drain", func() {
		e := newEvidence(DefaultSoakShards)
		e.recordResult(&soakRequest{id: "x", kind: "read", vm: vm, sent: at, end: at, status: http.StatusBadGateway})
		e.drainedAt["s"] = at.Add(-time.Minute)
		e.recordArrival(arrival{id: "x", server: "s", at: at, deadline: time.Second})
		Expect(e.evaluate(1, nil).Violations).To(HaveKey(workAfterDrain))
	})

	It("reports repeats beyond the fleet's budget in any window", func() {
		e := newEvidence(DefaultSoakShards)
		for i := range soakSlack + 30 {
			id := fmt.Sprint(i)
			e.recordResult(&soakRequest{id: id, kind: "read", vm: vm, sent: at, end: at, status: http.StatusBadGateway})
			for n := range 2 {
				e.recordArrival(arrival{id: id, service: "orders", server: fmt.Sprint(n), at: at.Add(time.Duration(i) * time.Millisecond), deadline: time.Second})
			}
		}
		Expect(e.evaluate(1, nil).Violations).To(HaveKey(overBudget))
	})

	DescribeTable("when it counts the servers of a service that ran a request", func(ran int, total int) {
		e := newEvidence(DefaultSoakShards)
		for i := range 4 {
			server := fmt.Sprint(min(i, 2)) // the last two arrivals are at one server
			e.recordArrival(arrival{id: "x", service: "orders", server: server, at: at, deadline: time.Second, ran: i < ran})
		}
		e.recordResult(&soakRequest{id: "x", kind: "read", vm: vm, sent: at, end: at, status: http.StatusBadGateway})
		Expect(e.evaluate(1, nil).Violations[overAttempts]).To(Equal(total))
	},
		Entry("accepts two", 2, 0),
		Entry("reports a third one", 3, 1),
		Entry("reports three, of which one ran it twice", 4, 1),
	)

	It("reports requests sent or worked on after their callers canceled", func() {
		e := newEvidence(DefaultSoakShards)
		for i := range 10 {
			id := fmt.Sprint(i)
			e.recordResult(&soakRequest{id: id, kind: "read", vm: vm, sent: at, end: at, canceledAt: at, err: errors.New("left")})
			e.recordArrival(arrival{id: id, server: "early", at: at, deadline: time.Second, ran: true, workTime: 3 * time.Second})
			e.recordArrival(arrival{id: id, server: "late", at: at.Add(time.Second), deadline: time.Second})
		}
		Expect(e.evaluate(1, nil).Violations).To(And(HaveKey(sentAfterGone), HaveKey(workAfterGone)))
	})
})
