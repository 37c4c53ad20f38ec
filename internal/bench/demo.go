package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sardinespindle/sardinespindle/internal/standin"
	"github.com/sardinespindle/sardinespindle/schema/gen/caller"
)

const demoVMs = 4

// lostShard is the shard whose replicas the demo takes down.
const lostShard = "s07"

// demo is one run of the demonstration.
type demo struct {
	out    io.Writer
	c      *Cluster
	client *Client
	ready  time.Time
	failed []string
}

// Demo starts a small cluster, shows searches and an order on it, and stops everything
// again. The error names each expectation that failed.
func Demo(ctx context.Context, o Options, out io.Writer) error {
	o.Deployment = Both
	o.VMs = demoVMs
	start := time.Now()
	c, err := NewCluster(ctx, o)
	if err != nil {
		return err
	}
	d := &demo{out: out, c: c, client: NewClient(), ready: time.Now()}
	d.printf("%d VMs, %d upstreams, generation %d in force, ready after %v", len(c.VMs), len(c.Deployment.Upstreams), c.Generation, time.Since(start).Round(time.Millisecond))
	d.searchParts(ctx)
	d.searchReturns(ctx)
	d.sendOrderTwice(ctx)
	if err := c.Close(); err != nil {
		d.failed = append(d.failed, err.Error())
	}
	if len(d.failed) > 0 {
		return fmt.Errorf("demo: %s", strings.Join(d.failed, "; "))
	}
	d.printf("every expectation met; all processes stopped")
	return nil
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// expect prints whether an expectation is met, and records it if not.
func (d *demo) expect(ok bool, what string) {
	mark := "ok  "
	if !ok {
		mark = "FAIL"
		d.failed = append(d.failed, what)
	}
	d.printf("  %s %s", mark, what)
}

func (d *demo) send(ctx context.Context, vm int, r Request) *caller.Reply {
	s := d.client.Do(ctx, d.c.VMs[vm].Callers, r)
	if s.Reply == nil {
		d.printf("  %s through %s: no reply: %v", r.Caller, d.c.VMs[vm].Name, s.Err)
		return &caller.Reply{}
	}
	line := fmt.Sprintf("  %s through %s saw %s", r.Caller, d.c.VMs[vm].Name, s.Reply.Outcome)
	if s.Reply.Reason != "" {
		line += " (" + s.Reply.Reason + ")"
	}
	if cov := s.Reply.Coverage; cov != nil {
		line += fmt.Sprintf(", coverage %d/%d, %d documents", cov.ShardsCovered, cov.ShardsTotal, len(s.Reply.Documents))
	}
	if s.Reply.Snapshot != nil {
		line += fmt.Sprintf(", snapshot %d.%d", s.Reply.Snapshot.Index, s.Reply.Snapshot.Map)
	}
	if s.Reply.Result != "" {
		line += ", result " + s.Reply.Result
	}
	d.printf("%s in %v", line, s.End.Sub(s.Sent).Round(time.Millisecond))
	return s.Reply
}

func (d *demo) searchParts(ctx context.Context) {
	d.printf("a builder searches the parts catalogue:")
	r := d.send(ctx, 0, search("builders", "parts-finder", "jack pear", time.Second))
	d.expect(r.Coverage != nil && r.Coverage.Complete && r.Coverage.ShardsCovered == 20, "coverage 20/20, complete")
	d.expect(len(r.Documents) > 0, "parts found")
}

func (d *demo) searchReturns(ctx context.Context) {
	d.printf("both replicas of iade-bakis shard %s are lost; a counter looks up a receipt of that shard:", lostShard)
	down := standin.Command{Addresses: d.c.Deployment.AddressesOf("iade-bakis", lostShard), Behaviour: &standin.Behaviour{Down: true}}
	if err := d.c.Do(ctx, down); err != nil {
		d.expect(false, err.Error())
		return
	}
	r := d.send(ctx, 1, search("counters", "iade-bakis", d.lostReceipt(), time.Second))
	cov := r.Coverage
	if cov == nil {
		cov = &caller.Coverage{}
	}
	d.expect(r.Outcome == caller.OutcomeAnswered && cov.ShardsCovered == 19 && cov.ShardsTotal == 20, "coverage 19/20")
	d.expect(len(cov.Missing) == 1 && cov.Missing[0] == lostShard, "the answer names the missing shard")
	d.expect(len(r.Documents) == 0 && !cov.Complete, "no document, and the answer does not say that there is none")
	d.printf("a reconciliation job, which accepts only complete answers, asks the same:")
	r = d.send(ctx, 2, search("reconciliation", "iade-bakis", d.lostReceipt(), time.Second))
	d.expect(r.Outcome != caller.OutcomeAnswered, "it gets an error instead of a partial answer")
}

// lostReceipt returns the number of a receipt that lostShard holds.
func (d *demo) lostReceipt() string {
	for _, m := range d.c.Deployment.Maps {
		if m.Workload != "iade-bakis" {
			continue
		}
		for _, s := range m.Shards {
			if string(s.Name) == lostShard {
				return standin.NewCorpus("iade-bakis").Number(standin.Range{First: uint32(s.First), Last: uint32(s.Last)})
			}
		}
	}
	return ""
}

func (d *demo) sendOrderTwice(ctx context.Context) {
	d.printf("VMs that just started abstain from votes on orders, since they may have forgotten; waiting %v", voteAfter)
	time.Sleep(time.Until(d.ready.Add(voteAfter)))
	d.printf("a workshop orders quills, and sends the same order again through another VM:")
	r := order("workshops", "order-desk", 3*time.Second)
	first := d.send(ctx, 0, r)
	second := d.send(ctx, 3, r)
	d.expect(first.Outcome == caller.OutcomeAnswered, "the first attempt is answered")
	d.expect(second.Outcome == caller.OutcomeAnswered && second.Replayed && second.Result == first.Result, "the second gets the recorded result")
	log, err := d.c.Log(ctx)
	if err != nil {
		d.expect(false, err.Error())
		return
	}
	runs := 0
	for _, run := range log.Runs {
		if run.Key == r.Key {
			runs++
		}
	}
	d.expect(runs == 1, fmt.Sprintf("the order ran once (ran %d times)", runs))
}

// search returns a search request with a fresh nonce.
func search(callerName, workload, words string, deadline time.Duration) Request {
	n := nonce()
	return Request{Caller: callerName, Workload: workload, Sharded: true, Query: words + " " + nonceWord(n), Limit: 10, Nonce: n, Deadline: deadline}
}

// order returns a non-idempotent request with a fresh key and nonce.
func order(callerName, workload string, deadline time.Duration) Request {
	n := nonce()
	return Request{
		Caller:   callerName,
		Workload: workload,
		Body:     fmt.Sprintf(`{"item":"quill","count":1,"note":%q}`, nonceWord(n)),
		Nonce:    n,
		Key:      uuid.Must(uuid.NewV7()).String(),
		Deadline: deadline,
	}
}

func nonce() string { return fmt.Sprintf("%016x", rand.Uint64()) }
