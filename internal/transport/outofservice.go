package transport

import "time"

const (
	// outOfServiceRetention is how long the time at which a worker left service is kept, unless more workers leave than are kept.
	outOfServiceRetention = time.Minute
	// minOutOfServiceKept is how many of these times are kept at least, however short the list.
	minOutOfServiceKept = 1024
)

// outOfServiceTimes holds when workers left service. The times are in two generations, of which the older one is dropped as a
// whole: discovery may replace workers without end, and no update must look at all that have ever been listed.
type outOfServiceTimes struct {
	current, previous map[string]time.Time // by worker id
	startedAt         time.Time            // when the current generation began
}

func newOutOfServiceTimes() outOfServiceTimes {
	return outOfServiceTimes{current: map[string]time.Time{}}
}

// record records that a worker has left service. listed is the number of listed workers: as many times are kept.
func (o *outOfServiceTimes) record(worker string, now time.Time, listed int) {
	full := len(o.current) >= max(listed, minOutOfServiceKept)
	if full || now.Sub(o.startedAt) > outOfServiceRetention {
		o.previous, o.current = o.current, map[string]time.Time{}
		o.startedAt = now
	}
	o.current[worker] = now
}

// forget drops the time of a worker that is in service again.
func (o *outOfServiceTimes) forget(worker string) {
	delete(o.current, worker)
	delete(o.previous, worker)
}

// since returns when a worker left service; zero: it has not, or the time was dropped.
func (o *outOfServiceTimes) since(worker string) time.Time {
	if at, ok := o.current[worker]; ok {
		return at
	}
	return o.previous[worker]
}
