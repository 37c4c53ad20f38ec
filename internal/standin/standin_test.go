package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/internal/testkit"
	"github.com/sardinespindle/sardinespindle/schema/gen/manifest"
	"github.com/sardinespindle/sardinespindle/schema/gen/upstream"
)

func TestStandin(t *testing.T) { testkit.Run(t, "standin") }

var _ = Describe("Platform", func() {
	var p *standin.Platform
	var s *httptest.Server

	get := func(tag, prefer string) (int, string, string) {
		req, _ := http.NewRequest(http.MethodGet, s.URL+"/v1/values/manifest/head", nil)
		req.Header.Set("If-None-Match", tag)
		req.Header.Set("Prefer", prefer)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, "", ""
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), resp.Header.Get("ETag")
	}

	BeforeEach(func() {
		p = standin.NewPlatform()
		s = httptest.NewServer(p.Handler("vm-01"))
		DeferCleanup(s.Close)
		p.Set("manifest/head", []byte("1"))
	})

	It("ends a watch when the value changes", func() {
		_, _, tag := get("", "")
		time.AfterFunc(50*time.Millisecond, func() { p.Set("manifest/head", []byte("2")) })
		code, body, _ := get(tag, "wait=10")
		Expect(code).To(Equal(200))
		Expect(body).To(Equal("2"))
	})

	It("replies with status 304 when a watch times out", func() {
		_, _, tag := get("", "")
		code, _, _ := get(tag, "wait=0")
		Expect(code).To(Equal(304))
	})

	It("replies to a reader according to the mode set for it", func() {
		p.SetMode("vm-01", standin.Frozen)
		p.Set("manifest/head", []byte("2"))
		_, body, _ := get("", "")
		Expect(body).To(Equal("1"))
		p.SetMode("vm-01", standin.Up)
		_, body, _ = get("", "")
		Expect(body).To(Equal("2"))
		p.SetMode("vm-01", standin.Previous)
		_, body, _ = get("", "")
		Expect(body).To(Equal("1"))
		p.SetMode("vm-01", standin.Down)
		code, _, _ := get("", "")
		Expect(code).To(BeZero())
	})

	It("ends watches when the mode becomes Down", func() {
		_, _, tag := get("", "")
		time.AfterFunc(50*time.Millisecond, func() { p.SetMode("", standin.Down) })
		start := time.Now()
		code, _, _ := get(tag, "wait=10")
		Expect(code).To(BeZero())
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})
})

var _ = Describe("Upstream", func() {
	maps := []manifest.PartitionMap{
		{Workload: "parts-finder", Version: 1, Shards: []manifest.Shard{{Name: "a", First: 0, Last: 1<<31 - 1}, {Name: "b", First: 1 << 31, Last: 1<<32 - 1}}},
	}
	var u *standin.Upstream
	var rec *standin.Recorder
	var addr string

	start := func(limit, slots int) {
		rec = standin.NewRecorder()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr = l.Addr().String()
		c := manifest.Upstream{Address: addr, Workload: "parts-finder", Shards: []manifest.Name{"a"}, Slots: slots, ConnectionLimit: limit}
		u = standin.NewUpstream(c, standin.NewCorpus("parts-finder"), maps, rec, 1)
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1})
		u.Serve(l)
		DeferCleanup(u.Close)
	}

	post := func(path, id, query, wanted string) (*http.Response, *upstream.Reply, error) {
		body, _ := json.Marshal(upstream.Query{Query: query, Limit: 1000})
		req, _ := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
		req.GetBody = nil
		req.Header.Set("Spindle-Request-Id", id)
		req.Header.Set("Spindle-Shard", "a")
		req.Header.Set("Spindle-Snapshot", wanted)
		req.Header.Set("Spindle-Deadline-Ms", "100")
		tr := &http.Transport{DisableKeepAlives: true}
		resp, err := (&http.Client{Transport: tr}).Do(req)
		if err != nil {
			return nil, nil, err
		}
		defer resp.Body.Close()
		var r upstream.Reply
		err = json.NewDecoder(resp.Body).Decode(&r)
		return resp, &r, err
	}
	search := func(id, wanted string) (*http.Response, *upstream.Reply, error) {
		return post("/search/parts-finder", id, "jack nonce:n1", wanted)
	}

	It("searches the wanted snapshot if that is held and not ignored, and otherwise the newest", func() {
		start(10, 2)
		u.SetSnapshot(upstream.Snapshot{Index: 2, Map: 1})
		_, r, err := search("1", "1.1")
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Snapshot).To(Equal(upstream.Snapshot{Index: 1, Map: 1}))
		Expect(r.Documents[0].Body).To(HaveSuffix("@1.1 nonce:n1"))
		_, r, _ = search("2", "7.1")
		Expect(r.Snapshot).To(Equal(upstream.Snapshot{Index: 2, Map: 1}))
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1, IgnoreSnapshot: true})
		_, r, _ = search("3", "1.1")
		Expect(r.Snapshot).To(Equal(upstream.Snapshot{Index: 2, Map: 1}))
	})

	It("sends crossed and truncated replies when its behaviour says so", func() {
		start(10, 2)
		_, _, err := search("1", "")
		Expect(err).NotTo(HaveOccurred())
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1, ReplyFault: standin.Crossed, ReplyShare: 1})
		_, r, _ := search("2", "")
		Expect(r.RequestId).To(Equal("1"))
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1, ReplyFault: standin.Truncated, ReplyShare: 1})
		_, _, err = search("3", "")
		Expect(err).To(HaveOccurred())
	})

	It("sheds requests beyond its slots and queue without running them", func() {
		start(200, 1)
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1000})
		codes := make(chan *http.Response, 20)
		for range 20 {
			go func() {
				resp, _, _ := search("x", "")
				codes <- resp
			}()
		}
		Eventually(func() int { return rec.Log().Counts.Shed }, "3s").Should(BeNumerically(">=", 11))
		Expect(rec.Log().Counts.Ran).To(BeNumerically("<=", 2))
		Expect((<-codes).Header.Get("Spindle-Not-Run")).To(Equal("true"))
	})

	It("closes and counts connections beyond its limit", func() {
		start(1, 2)
		c, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Eventually(func() int { return rec.Log().Counts.Connections }).Should(Equal(1))
		_, _, err = search("1", "")
		Expect(err).To(HaveOccurred())
		Expect(rec.Log().Counts.ConnectionsRefused).To(BeNumerically(">", 0))
	})

	It("crashes on a query with a crash word, stays down for a while, and recovers", func() {
		start(10, 2)
		_, _, err := post("/search/parts-finder", "1", "jack crash:w1", "")
		Expect(err).To(HaveOccurred())
		_, _, err = search("2", "")
		Expect(err).To(HaveOccurred())
		Expect(rec.Log().Crashes).To(And(HaveLen(1), HaveKeyWithValue("w1/a", HaveLen(1))))
		Eventually(func() error { _, _, err := search("3", ""); return err }, "3s").Should(Succeed())
	})

	It("counts a canceled request, and the run of a request that arrives long after the start of the drain", func() {
		start(10, 2)
		u.SetBehaviour(standin.Behaviour{ServiceMs: 5000, Draining: true, FakeHealth: true})
		req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/search/parts-finder", bytes.NewReader([]byte(`{"query":"jack"}`)))
		req.Header.Set("Spindle-Shard", "a")
		client := &http.Client{Timeout: 100 * time.Millisecond}
		_, err := client.Do(req)
		Expect(err).To(HaveOccurred())
		Eventually(func() int { return rec.Log().Counts.Canceled }, "3s").Should(Equal(1))
		Expect(rec.Log().Counts.WorkAfterDrain).To(BeZero())
		time.Sleep(3 * time.Second)
		u.SetBehaviour(standin.Behaviour{ServiceMs: 1, Draining: true, FakeHealth: true})
		resp, _, err := search("1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get("Spindle-Draining")).To(Equal("true"))
		Expect(rec.Log().Counts.WorkAfterDrain).To(Equal(1))
	})
})

var _ = Describe("Corpus", func() {
	It("returns the same documents from one range as from two that cover it, in every index version", func() {
		for index := 1; index <= 20; index++ {
			s := upstream.Snapshot{Index: index, Map: 1}
			c := standin.NewCorpus("iade-bakis")
			q := upstream.Query{Query: "sweater bursa nonce:x", Limit: 1000}
			whole := c.Search(q, s, standin.Range{First: 0, Last: 1<<32 - 1})
			parts := c.Search(q, s, standin.Range{First: 0, Last: 999_999_999}, standin.Range{First: 1_000_000_000, Last: 1<<32 - 1})
			Expect(parts).To(Equal(whole))
			Expect(whole.Documents).NotTo(BeEmpty())
			Expect(whole.DocumentsHeld).To(Equal(1200 + 5*(index-1)))
		}
	})
})
