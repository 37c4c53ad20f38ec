package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/catalog"
	"github.com/sardinespindle/sardinespindle/internal/policy/route"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	gen "github.com/sardinespindle/sardinespindle/schema/gen/peer"
)

// Replies of VMs were taken unchecked: one of another kind ended the daemon that had asked.
var _ = Describe("A reply of a VM that runs a request for another one", func() {
	known := &catalog.Catalog{Config: &catalog.Config{Version: 3}}
	search := &request{route: &route.Route{Shards: []string{"a", "b", "c"}}, catalog: known}
	part := &request{route: search.route, shards: []string{"a", "b"}, catalog: known}
	single := &request{route: &route.Route{}, catalog: known}
	covers := func(covered, shards int) *gen.Delegated {
		return &gen.Delegated{Taken: true, Outcome: "answered", Shards: shards, Covered: covered, Signatures: make([]string, covered)}
	}
	DescribeTable("is accepted if it fits the request", func(q *request, d *gen.Delegated) {
		d.Version = 3
		Expect(q.checkDelegated(d)).To(Succeed())
	},
		Entry("not taken", search, &gen.Delegated{}),
		Entry("not run", search, &gen.Delegated{Taken: true, Outcome: "not_run"}),
		Entry("unknown, of some shards", part, &gen.Delegated{Taken: true, Outcome: "unknown", Shards: 2, Covered: 1}),
		Entry("all shards", search, covers(3, 3)),
		Entry("some shards of a part", part, covers(1, 2)),
		Entry("an answer of a single service", single, &gen.Delegated{Taken: true, Outcome: "answered", Status: 404}),
	)
	DescribeTable("is refused otherwise", func(q *request, d *gen.Delegated) {
		d.Version = 3
		Expect(q.checkDelegated(d)).To(MatchError(errUnexpectedReply))
	},
		Entry("a single service's answer to a search", search, &gen.Delegated{Taken: true, Outcome: "answered", Status: 200}),
		Entry("a single service's failure to a search", search, &gen.Delegated{Taken: true, Outcome: "unknown", Status: 500}),
		Entry("a search's answer to a request to a single service", single, covers(3, 3)),
		Entry("an answer without a status", single, &gen.Delegated{Taken: true, Outcome: "answered"}),
		Entry("a status that ends no request", single, &gen.Delegated{Taken: true, Outcome: "answered", Status: 101}),
		Entry("an answer without shards", search, &gen.Delegated{Taken: true, Outcome: "answered"}),
		Entry("an answer of another number of shards", part, covers(3, 3)),
		Entry("more shards covered than searched", part, &gen.Delegated{Taken: true, Outcome: "answered", Shards: 2, Covered: 3, Signatures: make([]string, 3)}),
		Entry("a negative number of shards", part, &gen.Delegated{Taken: true, Outcome: "answered", Shards: 2, Covered: -1}),
		Entry("fewer signatures than shards", part, &gen.Delegated{Taken: true, Outcome: "answered", Shards: 2, Covered: 2, Signatures: []string{"s"}}),
		Entry("an outcome that does not exist", search, &gen.Delegated{Taken: true, Outcome: "rejected"}),
	)

	// A part that was run by another version has other shards or records than the search wants.
	DescribeTable("is accepted by the version by which the request was run", func(q *request, version int, accepted bool) {
		d := covers(3, 3)
		if q == single {
			d = &gen.Delegated{Taken: true, Outcome: "answered", Status: 200}
		}
		d.Version = version
		Expect(q.checkDelegated(d) == nil).To(Equal(accepted))
	},
		Entry("a search by the same", search, 3, true),
		Entry("a search by a newer one", search, 4, false),
		Entry("a search by an older one", search, 2, false),
		Entry("a search by an earlier build", search, 0, false),
		Entry("a request to a single service by the same", single, 3, true),
		Entry("a request to a single service by another one", single, 4, false),
		Entry("a request to a single service by an earlier build", single, 0, true),
	)

	// Orders were refused though they had run: VMs of earlier builds take a late copy of a refusal for that of a later order.
	DescribeTable("promises that an order has not run only if its build can tell", func(idempotent bool, version int, d *gen.Delegated, want caller.Outcome) {
		q := &request{route: &route.Route{Idempotent: idempotent}, catalog: known}
		d.Version = version
		o := q.outcomeOf(d)
		Expect(o.Kind).To(Equal(want))
		Expect(o.Cost.Sent).To(Equal(d.Sent))
		if want == caller.OutcomeUnknown {
			Expect(o.Header).To(BeNil(), "an upstream's signature belongs to its own status")
		}
	},
		Entry("an earlier build's refusal of an order that it sent", false, 0, &gen.Delegated{Outcome: "not_run", Sent: 1}, caller.OutcomeUnknown),
		Entry("an earlier build's refusal of an order that it did not send", false, 0, &gen.Delegated{Outcome: "not_run"}, caller.OutcomeNotRun),
		Entry("an order's signed 503 from an earlier build", false, 0, &gen.Delegated{Outcome: "answered", Status: 503, Sent: 1}, caller.OutcomeUnknown),
		Entry("an order's signed 429 from an earlier build", false, 0, &gen.Delegated{Outcome: "answered", Status: 429, Sent: 1}, caller.OutcomeUnknown),
		Entry("an order's signed 500 from an earlier build", false, 0, &gen.Delegated{Outcome: "answered", Status: 500, Sent: 1}, caller.OutcomeAnswered),
		Entry("an order's answer from an earlier build", false, 0, &gen.Delegated{Outcome: "answered", Status: 200, Sent: 1}, caller.OutcomeAnswered),
		Entry("an earlier build's refusal of an idempotent request", true, 0, &gen.Delegated{Outcome: "not_run", Sent: 1}, caller.OutcomeNotRun),
		Entry("an idempotent request's 503 from an earlier build", true, 0, &gen.Delegated{Outcome: "answered", Status: 503, Sent: 1}, caller.OutcomeAnswered),
		Entry("this build's refusal of an order that it sent", false, 3, &gen.Delegated{Outcome: "not_run", Sent: 1}, caller.OutcomeNotRun),
	)

	// Callers got replies of upstreams with an invalid head through VMs of earlier builds, which do not check it.
	DescribeTable("is no answer if a field of the upstream's reply has a name that is not valid", func(idempotent bool, name string) {
		q := &request{route: &route.Route{Idempotent: idempotent}, catalog: known}
		d := &gen.Delegated{
			Taken: true, Outcome: "answered", Version: 3, Status: 200, Sent: 1, Headers: []gen.Header{{Name: name, Values: []string{"4"}}},
		}
		Expect(q.checkDelegated(d)).To(Succeed(), "the VM itself has not failed")
		o := q.outcomeOf(d)
		Expect(o.Kind).To(Equal(caller.OutcomeUnknown))
		Expect(o.Header).To(BeNil())
		Expect(o.Cost.Sent).To(Equal(1))
	},
		Entry("a length with a blank before its colon", false, "Content-Length "),
		Entry("a blank inside the name", true, "Bad Name"),
		Entry("a control byte", true, "Bad\x01Name"),
		Entry("no name", false, ""),
	)
})
