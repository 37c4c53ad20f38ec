package bench

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	accept "github.com/sardinespindle/sardinespindle/internal/manifest"
	"github.com/sardinespindle/sardinespindle/internal/relay"
	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

func TestBench(t *testing.T) { testkit.Run(t, "bench") }

// answered returns what a caller sees of a correct answer with at most one shard missing.
func answered(d *Deployment, missing ...string) Attempt {
	const n = "abc"
	m := d.newestMap("parts-finder")
	cov := caller.Coverage{ShardsTotal: len(m.Shards), Missing: missing, Complete: len(missing) == 0}
	cov.ShardsCovered = cov.ShardsTotal - len(missing)
	var ranges []standin.Range
	for _, s := range m.Shards {
		if len(missing) == 0 || string(s.Name) != missing[0] {
			ranges = append(ranges, standin.Range{First: uint32(s.First), Last: uint32(s.Last)})
		}
	}
	r := Request{Caller: "builders", Workload: "parts-finder", Sharded: true, Query: "jack " + nonceWord(n), Limit: 10, Nonce: n, Deadline: time.Second}
	f := standin.NewCorpus("parts-finder").Search(upstream.Query{Query: r.Query, Limit: 10}, upstream.Snapshot{Index: 2, Map: m.Version}, ranges...)
	cov.DocumentsCovered = f.DocumentsHeld
	reply := &caller.Reply{Outcome: caller.OutcomeAnswered, Snapshot: &caller.Snapshot{Index: 2, Map: m.Version}, Coverage: &cov}
	for _, doc := range f.Documents {
		reply.Documents = append(reply.Documents, caller.Document{Id: doc.Id, Score: doc.Score, Body: doc.Body})
	}
	at := time.Now()
	return Attempt{Request: r, VM: "vm-01", Due: at, Sent: at, End: at.Add(50 * time.Millisecond), Status: 200, Reply: reply}
}

// ordered returns one attempt of an order.
func ordered(at time.Time, o caller.Outcome) Attempt {
	r := Request{Caller: "workshops", Workload: "order-desk", Nonce: "n1", Key: "k1", Deadline: time.Second}
	reply := &caller.Reply{Outcome: o}
	if o == caller.OutcomeAnswered {
		reply.ResultStatus = 200
		reply.Result = `{"nonce":"n1"}`
	}
	return Attempt{Request: r, VM: "vm-01", Due: at, Sent: at, End: at.Add(50 * time.Millisecond), Reply: reply}
}

// ran returns a run of the same order as ordered.
func ran(at time.Time) standin.Run {
	return standin.Run{Key: "k1", Nonce: "n1", StartNs: at.UnixNano()}
}

var _ = Describe("Check", func() {
	d, _ := NewDeployment(Klapka, 10)
	now := time.Now()

	check := func(e Evidence) map[ViolationKind]int {
		e.Maps = d.Maps
		return Check(e).Violations
	}

	It("finds no violation in correct complete and partial answers, nor in an order that is not run and then runs once", func() {
		Expect(check(Evidence{Attempts: []Attempt{answered(d), answered(d, "s04")}})).To(BeEmpty())
		Expect(check(Evidence{
			Attempts: []Attempt{ordered(now, caller.OutcomeNotRun), ordered(now.Add(time.Second), caller.OutcomeAnswered)},
			Log:      standin.Log{Runs: []standin.Run{ran(now.Add(time.Second + time.Millisecond))}},
		})).To(BeEmpty())
	})

	DescribeTable("counts one violation for a search answer", func(kind ViolationKind, corrupt func(*Attempt)) {
		s := answered(d)
		corrupt(&s)
		Expect(check(Evidence{Attempts: []Attempt{s}})).To(Equal(map[ViolationKind]int{kind: 1}))
	},
		Entry("with a document of another index version", MixedSnapshot, func(s *Attempt) {
			s.Reply.Documents[3].Body = "jack" + standin.BodySuffix(upstream.Snapshot{Index: 1, Map: 1}, "abc")
		}),
		Entry("with a document of another partition map", MixedSnapshot, func(s *Attempt) {
			s.Reply.Documents[3].Body = "jack" + standin.BodySuffix(upstream.Snapshot{Index: 2, Map: 2}, "abc")
		}),
		Entry("with a document of another query", ForeignAnswer, func(s *Attempt) {
			s.Reply.Documents[0].Body = "jack" + standin.BodySuffix(upstream.Snapshot{Index: 2, Map: 1}, "xyz")
		}),
		Entry("that lacks a document", WrongCoverage, func(s *Attempt) { s.Reply.Documents = s.Reply.Documents[1:] }),
		Entry("with a document twice", WrongCoverage, func(s *Attempt) { s.Reply.Documents[1] = s.Reply.Documents[0] }),
		Entry("that is complete but names a missing shard", WrongCoverage, func(s *Attempt) { s.Reply.Coverage.Missing = []string{"s01"} }),
		Entry("that counts too few shards as covered", WrongCoverage, func(s *Attempt) { s.Reply.Coverage.ShardsCovered-- }),
		Entry("with more documents covered than its shards hold", WrongCoverage, func(s *Attempt) { s.Reply.Coverage.DocumentsCovered++ }),
		Entry("that names an unknown shard as missing", WrongCoverage, func(s *Attempt) { s.Reply.Coverage.Missing = []string{"zz"} }),
		Entry("without coverage", WrongCoverage, func(s *Attempt) { s.Reply.Coverage = nil }),
		Entry("that arrives a second after its deadline", LateAnswer, func(s *Attempt) { s.End = s.Sent.Add(2 * time.Second) }),
	)

	It("counts a search that ran although its reply says not run", func() {
		s := answered(d)
		s.Reply = &caller.Reply{Outcome: caller.OutcomeNotRun}
		Expect(check(Evidence{Attempts: []Attempt{s}, Log: standin.Log{Nonces: map[string]int{"abc": 3}}})).To(Equal(map[ViolationKind]int{NotRunButRan: 1}))
	})

	DescribeTable("counts one violation for an order", func(want ViolationKind, attempts []Attempt, runs ...standin.Run) {
		Expect(check(Evidence{Attempts: attempts, Log: standin.Log{Runs: runs}})).To(Equal(map[ViolationKind]int{want: 1}))
	},
		Entry("that ran twice", RanTwice, []Attempt{ordered(now, caller.OutcomeUnknown)}, ran(now), ran(now.Add(time.Second))),
		Entry("that was answered but never ran", AnsweredNotRun, []Attempt{ordered(now, caller.OutcomeAnswered)}),
		Entry("whose reply says not run after it ran", NotRunButRan, []Attempt{ordered(now, caller.OutcomeNotRun)}, ran(now.Add(time.Millisecond))),
		Entry("that ran after the reply not run, without another attempt", NotRunButRan, []Attempt{ordered(now, caller.OutcomeNotRun)}, ran(now.Add(time.Second))),
		Entry("that ran after the reply not run, with another attempt that was sent only before that reply", NotRunButRan,
			[]Attempt{ordered(now.Add(-10*time.Millisecond), caller.OutcomeUnknown), ordered(now, caller.OutcomeNotRun)}, ran(now.Add(time.Second))),
	)

	It("counts two different answers to one idempotency key", func() {
		a, b := ordered(now, caller.OutcomeAnswered), ordered(now, caller.OutcomeAnswered)
		b.Reply.Result = `{"nonce":"n1","run":"2"}`
		got := check(Evidence{Attempts: []Attempt{a, b}, Log: standin.Log{Runs: []standin.Run{ran(now)}}})
		Expect(got).To(Equal(map[ViolationKind]int{AnswersDiffer: 1}))
	})

	It("counts a request cut off during a planned stop, but not one lost without a stop", func() {
		s := answered(d)
		s.Reply = nil
		s.Err = net.ErrClosed
		Expect(check(Evidence{Attempts: []Attempt{s}})).To(BeEmpty())
		stops := map[string][]Span{"vm-01": {{From: s.Sent.Add(-time.Second)}}}
		Expect(check(Evidence{Attempts: []Attempt{s}, Journal: Journal{Stops: stops}})).To(Equal(map[ViolationKind]int{CutOff: 1}))
	})

	It("counts the violations that upstreams report, and crashes beyond two per shard", func() {
		l := standin.Log{Counts: standin.Counts{WorkAfterDrain: 2, ConnectionsRefused: 3}, Crashes: map[string][]int64{"w/s01": {1, 2}, "w/s02": {1, 2, 3, 4}}}
		Expect(check(Evidence{Log: l})).To(Equal(map[ViolationKind]int{WorkAfterDrain: 2, ConnectionLimit: 3, CrashRepeated: 2}))
	})

	// The users' bound is one for the request, whatever shards its upstreams serve.
	It("counts crashes beyond three of all shards from when all VMs know of the request", func() {
		late := int64(crashNotice) + 100
		crashes := map[string][]int64{"w/s01": {1, late}, "w/s02": {2, late}, "w/s03": {3, late}, "v/s01": {late, late + 1}}
		Expect(check(Evidence{Log: standin.Log{Crashes: crashes}})).To(BeEmpty())
		crashes["w/s04"] = []int64{late, late}
		Expect(check(Evidence{Log: standin.Log{Crashes: crashes}})).To(Equal(map[ViolationKind]int{CrashRepeated: 2}))
	})

	It("counts a manifest that reverts, and one that is late unless the VM was cut off", func() {
		j := Journal{
			Commits: []CommitTime{{Generation: 2, At: now}},
			Samples: []Sample{
				{VM: "vm-01", Incarnation: "a", Generation: 2, At: now.Add(time.Second)},
				{VM: "vm-01", Incarnation: "a", Generation: 1, At: now.Add(2 * time.Second)},
				{VM: "vm-02", Incarnation: "b", Generation: 1, At: now.Add(6 * time.Second)},
				{VM: "vm-02", Incarnation: "b", Generation: 1, At: now.Add(7 * time.Second)},
			},
		}
		Expect(check(Evidence{Journal: j})).To(Equal(map[ViolationKind]int{ManifestReverted: 1, ManifestLate: 1}))
		j.Cuts = map[string][]Span{"vm-02": {{From: now}}}
		Expect(check(Evidence{Journal: j})).To(Equal(map[ViolationKind]int{ManifestReverted: 1}))
	})
})

var _ = Describe("Deployment", func() {
	It("has 115 upstreams in 3 zones for klapka and 130 in 4 zones for kervan", func() {
		k, _ := NewDeployment(Klapka, 10)
		v, _ := NewDeployment(Kervan, 20)
		Expect(k.Upstreams).To(HaveLen(40 + 60 + 10 + 5))
		Expect(v.Upstreams).To(HaveLen(40 + 60 + 20 + 10))
		Expect(k.Zones).To(HaveLen(3))
		Expect(v.Zones).To(HaveLen(4))
	})

	It("covers the hash space without gap or overlap after each repartition, with two upstreams or more per shard", func() {
		d, _ := NewDeployment(Klapka, 10)
		for i := range 30 {
			how := []string{splitShard, mergeShard, moveRange}[i%3]
			m, serves := d.Repartition("parts-finder", how, i*7)
			d.Maps = append(d.Maps, m)
			next := 0
			for _, s := range m.Shards {
				Expect(s.First).To(Equal(next))
				next = s.Last + 1
				holders := 0
				for _, shards := range serves {
					for _, have := range shards {
						if have == s.Name {
							holders++
						}
					}
				}
				Expect(holders).To(BeNumerically(">=", replicas), fmt.Sprintf("%s of map %d", s.Name, m.Version))
			}
			Expect(next).To(Equal(hashSpace))
		}
	})

	It("makes manifests that daemons accept, also after repartitions", func() {
		d, _ := NewDeployment(Both, 10)
		for i := range 8 {
			m, _ := d.Repartition("iade-bakis", []string{splitShard, mergeShard, moveRange}[i%3], i*5)
			d.Maps = append(d.Maps, m)
			p, err := Publish(d.Parts(), i+1, "")
			Expect(err).NotTo(HaveOccurred())
			texts := map[string][]byte{}
			for j, body := range p.Parts {
				texts[p.Digests[j]] = body
			}
			_, err = accept.NewBuilder().Build(p.Head, texts)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("writes examples that equal the committed ones", func() {
		for _, name := range []string{Klapka, Kervan} {
			dir := GinkgoT().TempDir()
			Expect(WriteExample(name, dir)).To(Succeed())
			for _, f := range []string{"head.json", "part-1.json", "part-2.json", "part-3.json"} {
				want, err := os.ReadFile(filepath.Join(dir, f))
				Expect(err).NotTo(HaveOccurred())
				got, err := os.ReadFile(filepath.Join("..", "..", "examples", name, f))
				Expect(err).NotTo(HaveOccurred())
				Expect(string(got)).To(Equal(string(want)))
			}
		}
	})
})

var _ = Describe("relay", func() {
	It("closes open connections and refuses new ones while cut, and forwards new ones afterwards", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte("x"))
			}
		}()
		r, err := relay.New(GinkgoT().Context(), "127.0.0.1:0", l.Addr().String(), "127.0.0.2")
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		read := func() (net.Conn, error) {
			c, err := net.Dial("tcp", r.Addr())
			Expect(err).NotTo(HaveOccurred())
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, err = c.Read(make([]byte, 1))
			return c, err
		}
		c, err := read()
		Expect(err).NotTo(HaveOccurred())
		r.Cut(true)
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		_, err = read()
		Expect(err).To(HaveOccurred())
		r.Cut(false)
		_, err = read()
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("results", func() {
	It("are written with their plots and summarized in the report", func() {
		d, _ := NewDeployment(Klapka, 10)
		m := &measurements{verdict: &Verdict{Violations: map[ViolationKind]int{}}, elapsed: time.Second, shards: map[string]int{"parts-finder": 20}}
		m.counts.Searches = 44
		for i := range 4 {
			s := answered(d)
			if i > 1 {
				s = answered(d, "s02")
			}
			s.End = s.Due.Add(time.Duration(i+1) * 10 * time.Millisecond)
			m.attempts = append(m.attempts, s)
		}
		o := RunOptions{Experiment: "steady"}
		r := m.result(o, Current)
		Expect(r.Answered).To(Equal(4))
		Expect(r.CoverageMean).To(BeNumerically("~", 0.975, 1e-9))
		Expect(r.ExtraLoad).To(BeNumerically("~", 44.0/80, 1e-9))
		Expect(r.P99Ms).To(BeNumerically("~", 40, 1))
		dir := GinkgoT().TempDir()
		Expect(writeResults(filepath.Join(dir, "steady"), []*Result{r, m.result(o, Baseline)})).To(Succeed())
		Expect(WriteReport(dir)).To(Succeed())
		page, err := os.ReadFile(filepath.Join(dir, reportFile))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring("cdf-parts-finder-builders.png"))
		Expect(filepath.Join(dir, "steady", "cdf-parts-finder-builders.png")).To(BeAnExistingFile())
		var back []*Result
		body, _ := os.ReadFile(filepath.Join(dir, "steady", resultFile))
		Expect(json.Unmarshal(body, &back)).To(Succeed())
		Expect(back).To(HaveLen(2))
	})
})

var _ = Describe("manifest parts", func() {
	It("are under 1 MB each if one manifest holds both deployments", func() {
		d, _ := NewDeployment(Both, 10)
		p, err := Publish(d.Parts(), 1, "")
		Expect(err).NotTo(HaveOccurred())
		for _, body := range p.Parts {
			Expect(len(body)).To(BeNumerically("<", 1_000_000))
			var part manifest.Part
			Expect(json.Unmarshal(body, &part)).To(Succeed())
		}
	})
})

var _ = Describe("Streams of one caller and workload", func() {
	// A crashing request had run twice under the nonce of another stream's request that was
	// truly not run, and the checker counted that as not_run_but_ran.
	It("draw different nonces", func() {
		d, err := NewDeployment(Klapka, 1)
		Expect(err).NotTo(HaveOccurred())
		l := newLoad(d, nil, 1)
		seen := map[string]int{}
		for i, s := range append(ordinaryLoad(Klapka), crashStreams(Klapka)...) {
			rng := l.streamRand(i, s)
			for range 20 {
				seen[l.nextRequest(rng, s).Nonce]++
			}
		}
		for n, k := range seen {
			Expect(k).To(Equal(1), n)
		}
	})
})
