package takeover

import "slices"

// Verdict says whether a VM may send a shard's request to a replica.
type Verdict int

// The verdicts.
const (
	// Never: other replicas have been used, or may be, as many as may run the request.
	Never Verdict = iota
	// Send: it may be sent now.
	Send
	// Announce: it may be sent once it is announced and the announcement is confirmed.
	Announce
	// Wait: it is announced and not confirmed yet.
	Wait
)

// Options configure a Ledger.
type Options struct {
	// Shards is the number of shards, and MaxAttempts the number of replicas of each that may
	// run the request; 0 counts as 1.
	Shards, MaxAttempts int
	// Before holds what other VMs may have sent.
	Before Record
	// Alone means that no other VM runs the search after this one, so that nothing is announced.
	Alone bool
	// ConfirmFirst means that the sender counts on this VM to announce all replicas. It is set in
	// any case if Before has any.
	ConfirmFirst bool
}

// Ledger decides which replicas a VM may use for the shards of a search, and records them. Indices
// of shards must be below Options.Shards.
type Ledger struct {
	o         Options
	shards    []ledgerShard
	changed   bool // something was announced since the last Report
	reported  int  // sequence number of the last Report
	confirmed int  // highest sequence number that the sender has confirmed
}

// ledgerShard is the state of one shard.
type ledgerShard struct {
	before []Replica
	own    []Replica // replicas that this VM may have used, or may use once confirmed
	named  bool      // own was announced
	since  int       // sequence number of the Report that announces own
}

// NewLedger returns a Ledger with nothing sent by this VM.
func NewLedger(o Options) *Ledger {
	o.MaxAttempts = max(o.MaxAttempts, 1)
	o.ConfirmFirst = o.ConfirmFirst || o.Before.Sent()
	l := &Ledger{o: o, shards: make([]ledgerShard, o.Shards)}
	for i := range l.shards {
		l.shards[i].before = o.Before.At(i)
	}
	return l
}

// MaybeSent reports whether another VM may have sent the shard's request.
func (l *Ledger) MaybeSent(shard int) bool { return len(l.shards[shard].before) > 0 }

// Decide returns whether the shard's request may be sent to a replica.
func (l *Ledger) Decide(shard int, r Replica) Verdict {
	s := &l.shards[shard]
	if slices.Contains(s.before, r) {
		return Send
	}
	if slices.Contains(s.own, r) {
		if s.named && s.since > l.confirmed {
			return Wait
		}
		return Send
	}
	switch {
	case len(s.before)+len(s.own) >= l.o.MaxAttempts:
		return Never
	case l.o.Alone || !l.o.ConfirmFirst && !s.named && len(s.own) == 0:
		return Send
	default:
		return Announce
	}
}

// Only returns the replicas that the shard is limited to; false if any other may be used too.
func (l *Ledger) Only(shard int) ([]Replica, bool) {
	s := &l.shards[shard]
	if len(s.before)+len(s.own) < l.o.MaxAttempts {
		return nil, false
	}
	return slices.Concat(s.before, s.own), true
}

// RecordSent records that the shard's request is sent to a replica for which Decide returned Send.
func (l *Ledger) RecordSent(shard int, r Replica) {
	s := &l.shards[shard]
	if !slices.Contains(s.before, r) && !slices.Contains(s.own, r) {
		s.own = append(s.own, r)
	}
}

// RecordNotRun records that a replica did not run the shard's request and never will, or that the
// VM will not send the request to it after all.
func (l *Ledger) RecordNotRun(shard int, r Replica) {
	s := &l.shards[shard]
	s.own = slices.DeleteFunc(s.own, func(x Replica) bool { return x == r })
}

// Announce adds a replica for which Decide returned Announce to the next Report.
func (l *Ledger) Announce(shard int, r Replica) {
	s := &l.shards[shard]
	s.own = append(s.own, r)
	s.named, s.since = true, l.reported+1
	l.changed = true
}

// Record returns the replicas that the request of each shard may have been sent to, by any VM.
func (l *Ledger) Record() Record {
	out := NewRecord(len(l.shards))
	for i := range l.shards {
		out[i] = slices.Concat(l.shards[i].before, l.shards[i].own)
	}
	return out
}

// Report returns what was announced, and a sequence number that confirms it; false if nothing was
// announced since the last Report.
func (l *Ledger) Report() (u Update, sequence int, ok bool) {
	if !l.changed {
		return nil, 0, false
	}
	l.changed = false
	l.reported++
	for i := range l.shards {
		if s := &l.shards[i]; s.named {
			u = append(u, entry(i, slices.Concat(s.before, s.own)))
		}
	}
	return u, l.reported, true
}

// Confirm records that the sender has confirmed a Report and those before it.
func (l *Ledger) Confirm(sequence int) { l.confirmed = max(l.confirmed, sequence) }
