package bench

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/platform"
)

var _ = Describe("The soak's checks", func() {
	at := time.Now()
	vm := &soakVM{name: "vm"}
	find := func(id, body, stamps, missing string) *soakSeen {
		h := http.Header{}
		h.Set(platform.Headers.Signatures, stamps)
		if missing != "" {
			h.Set(platform.Headers.Missing, missing)
		}
		return &soakSeen{id: id, kind: "find", vm: vm, sent: at, end: at.Add(time.Millisecond), status: http.StatusOK, header: h, body: body}
	}
	const all = "stamp-i-0-1,stamp-i-2-1,stamp-i-5-1,stamp-i-7-2"
	top := bodyOf("shard-0", "x")

	DescribeTable("of one answer", func(q *soakSeen, ok bool) {
		Expect(wrong(q) == "").To(Equal(ok), wrong(q))
	},
		Entry("a right one", find("x", top, all, ""), true),
		Entry("one that says what it lacks", find("x", top, "stamp-i-0-1", "3"), true),
		Entry("of another request", find("x", bodyOf("shard-0", "y"), all, ""), false),
		Entry("one that does not say what it lacks", find("x", top, "stamp-i-0-1", ""), false),
		Entry("of a shard that did not sign", find("x", bodyOf("shard-1", "x"), "stamp-i-0-1", "3"), false),
		Entry("broken off", find("x", top[:20], all, ""), false),
		Entry("in rising order", find("x", top[16:]+top[:16], all, ""), false),
		Entry("an order's", &soakSeen{id: "x", kind: "order", body: "done x"}, true),
		Entry("another order's", &soakSeen{id: "x", kind: "order", body: "done y"}, false),
	)

	DescribeTable("of a whole run", func(q soakSeen, runs int, kind string) {
		e := newEvidence()
		q.id, q.vm = "x", vm
		if q.sent.IsZero() {
			q.sent, q.end = at, at.Add(time.Millisecond)
		}
		for i := range runs {
			e.arrived(arrival{id: "x", service: "orders", server: fmt.Sprint(i), at: at, deadline: time.Second, ran: true})
		}
		e.saw(&q)
		r := e.result(1, nil)
		if kind == "" {
			Expect(r.Total()).To(BeZero())
			return
		}
		Expect(r.Violations).To(HaveKey(kind))
	},
		Entry("an order that ran once", soakSeen{kind: "order", status: 502}, 1, ""),
		Entry("an order that ran twice", soakSeen{kind: "order", status: 502}, 2, ranTwice),
		Entry("a refusal of what ran", soakSeen{kind: "read", status: 503}, 1, refusedButRan),
		Entry("a true refusal", soakSeen{kind: "read", status: 503}, 0, ""),
		Entry("a denied route", soakSeen{kind: "read", status: 404}, 0, deniedRoute),
		Entry("no answer in time", soakSeen{kind: "read", sent: at, end: at.Add(2 * time.Second), err: errors.New("time-out")}, 1, lateReply),
		Entry("a connection closed on what ran", soakSeen{kind: "read", err: io.EOF}, 1, cutOff),
		Entry("a connection closed before it ran", soakSeen{kind: "read", err: io.EOF}, 0, ""),
	)

	It("counts more time than the caller has", func() {
		e := newEvidence()
		e.arrived(arrival{id: "x", at: at, deadline: 2 * time.Second})
		Expect(e.broken).To(HaveKey(overTime))
	})

	It("counts work at a server that left", func() {
		e := newEvidence()
		e.saw(&soakSeen{id: "x", kind: "read", vm: vm, sent: at, end: at, status: http.StatusBadGateway})
		e.drains["s"] = at.Add(-time.Minute)
		e.arrived(arrival{id: "x", server: "s", at: at, deadline: time.Second})
		Expect(e.result(1, nil).Violations).To(HaveKey(workAfterEnd))
	})

	It("counts repeats beyond the fleet's budget in any window", func() {
		e := newEvidence()
		for i := range soakSlack + 30 {
			id := fmt.Sprint(i)
			e.saw(&soakSeen{id: id, kind: "read", vm: vm, sent: at, end: at, status: http.StatusBadGateway})
			for n := range 2 {
				e.arrived(arrival{id: id, service: "orders", server: fmt.Sprint(n), at: at.Add(time.Duration(i) * time.Millisecond), deadline: time.Second})
			}
		}
		Expect(e.result(1, nil).Violations).To(HaveKey(overBudget))
	})

	It("counts what goes on after callers have left", func() {
		e := newEvidence()
		for i := range 10 {
			id := fmt.Sprint(i)
			e.saw(&soakSeen{id: id, kind: "read", vm: vm, sent: at, end: at, left: at, err: errors.New("left")})
			e.arrived(arrival{id: id, server: "early", at: at, deadline: time.Second, ran: true, lasts: 3 * time.Second})
			e.arrived(arrival{id: id, server: "late", at: at.Add(time.Second), deadline: time.Second})
		}
		Expect(e.result(1, nil).Violations).To(And(HaveKey(sentAfterGone), HaveKey(workAfterGone)))
	})
})
