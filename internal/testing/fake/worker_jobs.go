package fake

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// workerJob is a job that a worker has accepted.
type workerJob struct {
	conn            *workerConn
	id, key         string
	dedupGroup      string
	class           string
	slots, mem      float64
	work, remaining float64
	running         bool
	faultDraw       float64 // from 0 to 1, drawn once: decides which fault affects the job
	stopProgress    func()
}

func (j *workerJob) stop() {
	if j.stopProgress != nil {
		j.stopProgress()
		j.stopProgress = nil
	}
}

func (p *Worker) fits(j *workerJob) bool {
	return len(p.queue) == 0 && p.usedSlots+j.slots <= p.Slots && p.usedMemory+j.mem <= p.Memory
}

// rate returns the seconds of work that each running job completes per second.
func (p *Worker) rate() float64 {
	r := p.Speed * (1 - p.Faults.StolenCPU) / max(p.Faults.Slow, 1)
	if p.usedSlots > p.Cores {
		r *= p.Cores / p.usedSlots
	}
	return r * p.SlowStartFactor()
}

// advance accounts for the running jobs' progress up to now.
func (p *Worker) advance() {
	now := p.Pool.Clock.Now()
	span := now.Sub(p.updatedAt).Seconds() * p.rate()
	p.updatedAt = now
	for _, j := range p.jobs {
		j.remaining = max(0, j.remaining-span)
	}
}

// startWaiting starts queued jobs in order for as long as the first one fits.
func (p *Worker) startWaiting() {
	for len(p.queue) > 0 {
		j := p.queue[0]
		if p.usedSlots+j.slots > p.Slots || p.usedMemory+j.mem > p.Memory {
			break
		}
		p.queue = p.queue[1:]
		p.jobs = append(p.jobs, j)
		p.usedSlots, p.usedMemory, j.running = p.usedSlots+j.slots, p.usedMemory+j.mem, true
		if p.Progress > 0 {
			j.conn.writeLine(j, "started", "")
			p.progress(j)
		}
	}
	p.recordReport()
	p.scheduleNextEnd()
}

func (p *Worker) progress(j *workerJob) {
	j.stopProgress = p.Pool.Clock.After(p.Progress, func() {
		p.advance()
		j.conn.writeLine(j, "running", `,"share":`+strconv.FormatFloat(math.Floor(1000*(1-j.remaining/j.work))/1000, 'f', -1, 64))
		p.progress(j)
	})
}

// remove removes a job from the queue or from the running jobs.
func (p *Worker) remove(j *workerJob) {
	j.stop()
	if !j.running {
		for i, o := range p.queue {
			if o == j {
				p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
			}
		}
		return
	}
	for i, o := range p.jobs {
		if o == j {
			p.jobs = append(p.jobs[:i:i], p.jobs[i+1:]...)
			p.usedSlots, p.usedMemory = p.usedSlots-j.slots, p.usedMemory-j.mem
		}
	}
}

// scheduleNextEnd sets the timer for the next job that finishes.
func (p *Worker) scheduleNextEnd() {
	if p.cancelNextEnd != nil {
		p.cancelNextEnd()
		p.cancelNextEnd = nil
	}
	if !p.running || len(p.jobs) == 0 {
		return
	}
	first := math.Inf(1)
	for _, j := range p.jobs {
		first = min(first, j.remaining)
	}
	wait := time.Duration(math.Ceil(min(first/p.rate(), 0.5) * 1e9)) // the slow start factor changes the rate: check again soon
	p.cancelNextEnd = p.Pool.Clock.After(max(wait, time.Microsecond), func() {
		p.cancelNextEnd = nil
		p.advance()
		for _, j := range append([]*workerJob(nil), p.jobs...) {
			if j.remaining <= 1e-9 {
				p.finish(j)
			}
		}
		p.startWaiting()
	})
}

// finish completes a job that has run to its end.
func (p *Worker) finish(j *workerJob) {
	p.remove(j)
	if j.key != "" && p.Pool.effects[j.dedupGroup] == 0 {
		p.Pool.effects[j.dedupGroup]++
		p.Pool.effects[j.class+"/"+j.key]++
	}
	if j.faultDraw > p.Faults.Fail && j.faultDraw < p.Faults.Fail+p.Faults.Reset {
		c := j.conn
		c.job, c.closed = nil, true
		delete(p.conns, c)
		c.conn.Reset()
		return
	}
	result := "result of " + j.id + " by " + p.ID
	if p.Result > 0 {
		result += strings.Repeat(".", p.Result)
	} else if n := int(j.work * 1000); p.Result == 0 && n%7 == 0 { // makes some answers long
		result += strings.Repeat(".", 100*(n%300))
	}
	if j.faultDraw <= 1-p.Faults.WrongID {
		p.Pool.Observer.ResultProduced(p.ID, j.id, result)
	}
	j.conn.writeLine(j, "done", fmt.Sprintf(`,"result":%q`, result))
	j.conn.finishAnswer(j, true)
}
