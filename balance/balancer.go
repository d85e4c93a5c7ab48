package balance

import (
	"time"
)

// Balancer makes the placement decisions of one dispatching node. Its event methods take the time of the
// host's monotonic clock, which must not go backwards.
type Balancer struct {
	settings Settings
	actions  Actions
	random   randomSource

	now        time.Duration // time of the event being handled
	periodicAt time.Duration // when periodic work is next due
	shutdownAt time.Duration // when this balancer will be stopped; 0 if unknown
	holdsNew   bool          // requests that come and are not idempotent wait to be exported

	workers          workerSet
	requests         requestSet
	queue            requestQueue
	attemptsInFlight []*attempt

	discovery    discovery
	arrivals     arrivals
	jobs         jobEstimates
	starts       startLatency
	reports      reportHistory
	healthChecks healthChecks
	retries      retryBudget
	slowStart    slowStart
}

// New returns a Balancer that carries out its decisions by calling actions. Equal seeds give equal decisions.
// The error is a *SettingError.
func New(settings Settings, seed uint64, actions Actions) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings.Balancers = max(settings.Balancers, 1)
	if settings.DialTimeout == 0 {
		settings.DialTimeout = defaultDialTimeout
	}
	return &Balancer{
		settings:  settings,
		actions:   actions,
		random:    randomSource{state: seed},
		workers:   newWorkerSet(),
		requests:  requestSet{byID: map[string]*request{}},
		discovery: discovery{watchAt: never},
		jobs:      newJobEstimates(settings.Classes),
		starts:    startLatency{roundTrip: settings.DialTimeout},
		reports:   reportHistory{interval: settings.DialTimeout},
		retries:   retryBudget{tokens: 1},
	}, nil
}

// TimerFired handles the expiry of a timer requested by SetTimer.
func (b *Balancer) TimerFired(now time.Duration, requestID string) {
	b.now = now
	r := b.requests.byID[requestID]
	// The timer may belong to an earlier request with the same ID; comparing with the deadline detects that.
	if requestID != "" && r != nil && !r.finished && now+b.settings.MinEventInterval >= r.deadline {
		b.rejectOrFail(r)
	}
	b.replaceStalled()
	b.advance()
}

// advance is the last step of each event: it sends queued requests that fit, and does the work that is due:
// calls to discovery, periodic health checks, and setting the next timer.
func (b *Balancer) advance() {
	b.dispatchQueued()
	if b.discovery.due(b.now) {
		b.discovery.watchAt = never
		b.watchEndpoints()
	}
	if b.now < b.periodicAt {
		return
	}
	b.starts.decay()
	next := b.checkPeriodically()
	b.periodicAt = max(next, b.now+b.settings.MinEventInterval)
	b.actions.SetTimer(b.periodicAt-b.now, "")
}

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// randomSource is a seeded pseudo-random number generator (splitmix64). Drawing one more or one fewer number
// changes all later decisions.
type randomSource struct {
	state uint64
}

// next returns the next number, in [0, 1).
func (s *randomSource) next() float64 {
	s.state += 0x9e3779b97f4a7c15
	z := s.state
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return float64((z^(z>>31))>>11) / (1 << 53)
}
