package balance

import (
	"math"
	"time"
)

// Constants of the estimators in this file.
const (
	arrivalDecaySeconds  = 4    // time constant of the arrival rate's exponential decay
	minArrivalSeconds    = 0.1  // lower limit of the time over which the arrival rate is averaged
	p80StepDivisor       = 400  // a step of the p80 estimate is the dial timeout divided by this
	p80UpSteps           = 4    // steps up per later start; 4 up and 1 down balance at the 80th percentile
	p80LimitDivisor      = 4    // the p80 estimate is at most the dial timeout divided by this
	medianStepRoundTrips = 8    // step of the median start latency, in shortest round trips
	medianDecay          = 0.98 // factor on the median start latency at each run of the periodic work
	runTimeGain          = 0.05 // weight of a new run time in its class's estimate
	workRateGain         = 0.5  // weight of a new measurement in a worker's work rate
	meanWorkRateGain     = 0.05 // weight of a new measurement in the mean work rate
	minRateSpanSeconds   = 0.05 // shortest time between notifications over which a work rate is measured
)

// arrivals measures the arrival rate of requests. Older arrivals have less weight.
type arrivals struct {
	count   float64 // decayed number of requests ...
	seconds float64 // ... and the decayed time in which they arrived
	last    time.Duration
}

// record records a request that has just arrived.
func (r *arrivals) record(now time.Duration) {
	gap := (now - r.last).Seconds()
	keep := math.Exp(-gap / arrivalDecaySeconds) // a plain average at first; later the last seconds dominate
	r.count = r.count*keep + 1
	r.seconds = r.seconds*keep + gap
	r.last = now
}

// rate returns the number of requests a second.
func (r *arrivals) rate() float64 {
	return r.count / max(r.seconds, minArrivalSeconds)
}

// startLatency measures the time from sending an attempt to the notification that its job has started.
type startLatency struct {
	median    float64       // of recent jobs, in seconds
	roundTrip time.Duration // the shortest latency seen
	p80       time.Duration // 80th percentile; at most a quarter of the dial timeout
}

// observe records the start latency of one job. The 80th percentile is needed because some workers deliver
// notifications many times later than the fastest one: by the shortest round trip alone, nearly all jobs
// would seem to wait in a queue and would be replaced.
func (l *startLatency) observe(latency, dialTimeout time.Duration) {
	l.roundTrip = min(l.roundTrip, latency)
	step := dialTimeout / p80StepDivisor
	if latency > l.p80 {
		step *= -p80UpSteps
	}
	l.p80 = min(max(l.p80-step, 0), dialTimeout/p80LimitDivisor)
}

// updateMedian moves the median by a step of fixed size, so that a few long waits have little effect.
func (l *startLatency) updateMedian(latency float64) {
	step := math.Copysign(l.roundTrip.Seconds()*medianStepRoundTrips, latency-l.median)
	l.median = max(0, l.median+step)
}

// decay lowers the median over time: it is updated only by attempts, and while it is high none may be sent.
func (l *startLatency) decay() {
	l.median *= medianDecay
}

// jobEstimates holds the estimates of jobs.
type jobEstimates struct {
	classes           []classEstimate
	tightestObjective float64 // seconds, over all classes
	meanWorkRate      float64 // of workers not in slow start: standard-core seconds of work done in a second
}

// classEstimate holds the estimates of one class.
type classEstimate struct {
	runTime          float64       // seconds
	completions      int           // number of completed jobs
	maxClientTimeout time.Duration // the longest seen, taken as the client's total timeout
}

func newJobEstimates(classes []Class) jobEstimates {
	estimates := jobEstimates{classes: make([]classEstimate, len(classes)), meanWorkRate: 1}
	for i := range classes {
		objective := classes[i].LatencyObjective.Seconds()
		estimates.classes[i].runTime = objective
		if estimates.tightestObjective == 0 || objective < estimates.tightestObjective {
			estimates.tightestObjective = objective
		}
	}
	return estimates
}

// addClass adds the estimate of a new class, copied from the last earlier class of the same name if there is
// one.
func (j *jobEstimates) addClass(class *Class, earlier []Class) {
	objective := class.LatencyObjective.Seconds()
	estimate := classEstimate{runTime: objective}
	for i := range earlier {
		if earlier[i].Name == class.Name {
			estimate.runTime = j.classes[i].runTime
			estimate.maxClientTimeout = min(j.classes[i].maxClientTimeout, class.Deadline)
		}
	}
	j.classes = append(j.classes, estimate)
	j.tightestObjective = min(j.tightestObjective, objective)
}

// timeSpentEarlier records a request's client timeout, and returns how much of the client's total timeout
// its earlier tries have used: the difference to the longest timeout seen for the class.
func (j *jobEstimates) timeSpentEarlier(class int, timeout time.Duration) time.Duration {
	estimate := &j.classes[class]
	estimate.maxClientTimeout = max(estimate.maxClientTimeout, timeout)
	return estimate.maxClientTimeout - timeout
}

// observeRunTime updates the estimate of a class by a job's run time in seconds. The initial estimate is the
// latency objective. Among the first jobs, those longer than the estimate have more weight: a node that has
// just started would otherwise underestimate its jobs and overload warming workers.
func (j *jobEstimates) observeRunTime(class int, runTime float64) {
	estimate := &j.classes[class]
	estimate.completions++
	share := runTimeGain
	if runTime > estimate.runTime {
		share = max(share, 1/float64(estimate.completions+1))
	}
	estimate.runTime += share * (runTime - estimate.runTime)
}

// expectedWork returns the expected run time of a job in seconds times its slots. The run time is that of its
// class or that of its hint, whichever is longer.
func (j *jobEstimates) expectedWork(r *request) float64 {
	return r.Slots * max(j.classes[r.Class].runTime, r.RunTimeHint.Seconds()/j.meanWorkRate)
}

// workRateTTL is how long a worker's work rate is used after it was measured: slow phases are temporary, and
// a worker that gets no attempts because of its rate would never be measured again.
const workRateTTL = 5 * time.Second

// workRate is how fast a worker runs a job, relative to a standard core.
type workRate struct {
	value     float64       // seconds of work done in a second; 0 if unknown
	learnedAt time.Duration // when it was last measured
}

// observe updates the rate with a new measurement.
func (r *workRate) observe(rate float64, now time.Duration) {
	if r.value == 0 || now-r.learnedAt > workRateTTL {
		r.value = rate
	}
	r.value += workRateGain * (rate - r.value)
	r.learnedAt = now
}

// observeWorkRate measures a worker's work rate by a job's progress since its last notification.
func (b *Balancer) observeWorkRate(a *attempt, progress float64) {
	span := (b.now - a.progressAt).Seconds()
	inRange := progress > a.progress && progress <= 1
	if a.startedAt == 0 || a.request.RunTimeHint == 0 || span < minRateSpanSeconds || !inRange {
		return
	}
	rate := (progress - a.progress) * a.request.RunTimeHint.Seconds() / span
	a.worker.rate.observe(rate, b.now)
	if b.slowStartFactor(a.worker) == 1 {
		b.jobs.meanWorkRate += meanWorkRateGain * (rate - b.jobs.meanWorkRate)
	}
	a.progress = progress
	a.progressAt = b.now
}
