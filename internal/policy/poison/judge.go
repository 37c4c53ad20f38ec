package poison

// Fate is what is known of an upstream after an attempt at it.
type Fate int

// Fates of upstreams.
const (
	// Unknown: it has not replied, and nothing else is known of it.
	Unknown Fate = iota
	// Ran: it ran the request and replied.
	Ran
	// Lives: it did not run the request, or runs on though its reply was lost.
	Lives
	// Ended: its process has ended since it got the request.
	Ended
)

// Attempt is an attempt of a request at one upstream.
type Attempt struct {
	Fate Fate
}

// Judge returns what the attempts of one run of a request show: that upstreams run it, or else how many losses
// they are evidence of, at most SuspicionLimit.
func Judge(attempts []Attempt) (ran bool, losses int) {
	for _, a := range attempts {
		switch a.Fate {
		case Ran:
			return true, 0
		case Ended:
			losses++
		case Unknown, Lives:
		}
	}
	return false, min(losses, SuspicionLimit)
}
