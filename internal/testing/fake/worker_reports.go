package fake

import (
	"fmt"
	"time"
)

// The reports that are kept: with more than maxReports of them, the droppedReports oldest are dropped.
const (
	maxReports     = 400
	droppedReports = 200
)

// loadReport is the load of a worker at one time.
type loadReport struct {
	time                  time.Time
	slots, mem            float64
	openRequests, waiting int
}

// recordReport records the present load, for later reports.
func (p *Worker) recordReport() {
	now := p.Pool.Clock.Now()
	p.reports = append(
		p.reports,
		loadReport{now, p.Slots - p.usedSlots, p.Memory - p.usedMemory, len(p.jobs) + len(p.queue), len(p.queue)},
	)
	if len(p.reports) > maxReports {
		p.reports = append(p.reports[:0:0], p.reports[droppedReports:]...)
	}
}

// loadReportText formats the load report. Reports are renewed every Refresh; a process that has just started has none.
func (p *Worker) loadReportText() string {
	now := p.Pool.Clock.Now()
	at := now.Add(-p.Faults.ReportDelay)
	if !p.Faults.FrozenReports && p.Refresh > 0 {
		at = p.started.Add(at.Sub(p.started).Truncate(p.Refresh))
	} else if p.Faults.FrozenReports {
		at = p.started.Add(p.Refresh)
	}
	if at.Sub(p.started) < p.Refresh {
		return ""
	}
	r := loadReport{slots: p.Slots, mem: p.Memory}
	for i := len(p.reports) - 1; i >= 0 && !p.Faults.ReportsAllFree; i-- {
		if !p.reports[i].time.After(at) {
			r = p.reports[i]
			break
		}
	}
	noise := float64(uint64(at.UnixNano())/1000%97) / 1000
	text := fmt.Sprintf(
		"TEXT qps=%.3f, inflight=%d, x0=%.3f, x1=%.3f",
		noise,
		r.openRequests,
		max(0, r.slots-noise),
		max(0, r.mem-noise),
	)
	if p.ReportsQueue {
		text += fmt.Sprintf(", queue=%d", r.waiting)
	}
	return text
}
