package once

// Stage says how far an attempt got at the VM that reports it as failed.
type Stage int

// Stages of a failed attempt.
const (
	// Unclaimed: the VM has asked for no vote.
	Unclaimed Stage = iota
	// Released: the VM asked for votes and released them; it has not sent the request and
	// will not.
	Released
	// Contested: as Released, and another attempt may run or have run the request.
	Contested
	// Closed: the VM won the key, has not sent the request, and will neither send it nor
	// release the votes.
	Closed
	// Sent: the upstream may have run the request.
	Sent
)

// NotRun reports whether "not run" is true of the request, not just of this attempt. first
// says that the caller marked the attempt as its first, i.e. that the caller has no other
// attempt under way. Without that mark another VM may have accepted an attempt and not yet
// claimed the key; only a closed key keeps that attempt from running.
func NotRun(first bool, s Stage) bool {
	switch s {
	case Closed:
		return true
	case Unclaimed, Released:
		return first
	}
	return false
}
