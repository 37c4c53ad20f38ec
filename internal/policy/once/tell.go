package once

// Stage says how far an attempt got at the VM that refuses it.
type Stage int

// Stages of a refused attempt.
const (
	// Unclaimed: the VM has not asked for any vote.
	Unclaimed Stage = iota
	// Released: the VM asked for votes and gave them back; it has not sent and will not.
	Released
	// Contested: as Released, and a guard knew of another attempt.
	Contested
	// Closed: the VM won the key, has not sent, and will neither send nor give the votes back.
	Closed
	// Sent: the upstream may have run the request.
	Sent
)

// NotRun reports whether "not run" is true of the request, not just of the
// attempt. First says that the caller marked the attempt as its first: the
// caller has no other attempt under way. Without the mark only a closed key
// excludes an attempt that another VM has accepted and not yet claimed.
func NotRun(first bool, s Stage) bool {
	switch s {
	case Closed:
		return true
	case Unclaimed, Released:
		return first
	}
	return false
}
