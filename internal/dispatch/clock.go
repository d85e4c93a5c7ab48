package dispatch

import "time"

// clock is the Balancer's clock: the Unix time at the start of the process plus the monotonic time elapsed since. It never goes
// back, and it can be compared with the start times of workers in the endpoint list. The clocks of two processes differ if the
// wall clock was stepped between their starts.
type clock struct{ startedAt time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt)
}

// timeOf converts a reading of the clock to a time with a monotonic reading.
func (c clock) timeOf(at time.Duration) time.Time {
	return c.startedAt.Add(at - time.Duration(c.startedAt.UnixNano()))
}

// Now returns the time by the Balancer's clock.
func (d *Dispatcher) Now() time.Duration { return d.now() }

func (d *Dispatcher) now() time.Duration { return d.clock.now() }
