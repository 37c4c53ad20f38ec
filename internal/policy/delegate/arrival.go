package delegate

import "time"

// MaxDelay is the longest delay of a delegated request that a VM still runs, beyond the fastest
// message of its sender. It does not run a later one: the sender has given it up by the time the notice that it
// runs would arrive, and another VM runs it.
const MaxDelay = 50 * time.Millisecond

// Arrivals estimates how long the messages of one peer were delayed. The clocks of both VMs
// differ by an unknown amount, so the message with the least difference between sending and
// arrival counts as not delayed. The zero value has seen no message.
type Arrivals struct {
	least time.Duration // least difference seen
	known bool
}

// Delay records a message that was sent at sent, on the peer's clock, and arrived at received,
// on this VM's clock. It returns how much longer it took than the fastest message so far.
func (a *Arrivals) Delay(sent, received time.Duration) time.Duration {
	difference := received - sent
	if !a.known || difference < a.least {
		a.least, a.known = difference, true
	}
	return difference - a.least
}
