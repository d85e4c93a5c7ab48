package handover

import "time"

// Clocks holds the readings of two clocks of the sender at one instant: the machine's monotonic clock, which the receiver can
// read too, and the clock of the sender's balancer, which BalancerState and RequestState use. A balancer's clock starts at the
// wall clock's time when its process starts, so that the clocks of two processes may be hours apart.
type Clocks struct {
	Monotonic time.Duration `json:"Machine"`
	Balancer  time.Duration `json:"Decisions"`
}

// OffsetTo returns the offset that converts times of the sender's balancer to those of the receiver's, whose clocks are own. It
// is 0 for nil: a sender that sends no clocks uses the wall clock, as the receiver's balancer does.
func (c *Clocks) OffsetTo(own Clocks) time.Duration {
	if c == nil {
		return 0
	}
	return (own.Balancer - own.Monotonic) - (c.Balancer - c.Monotonic)
}
