package dispatch

import (
	"sync"

	"swiftdeal/balance"
	"swiftdeal/internal/platform"
)

// attemptProgress is the progress of an attempt, as its worker reported it last.
type attemptProgress struct {
	kind  balance.ProgressKind
	share float64 // completed fraction of the job, for balance.JobAdvanced
}

// mergeWith returns the progress that remains when a later report replaces this one before it was handled.
func (p attemptProgress) mergeWith(later attemptProgress) attemptProgress {
	if later.kind == balance.JobStarted {
		return p // a job that has advanced has started
	}
	return later
}

// progressTable holds the latest progress of the attempts whose progress event is queued. A worker may report progress
// without end and faster than events are handled: a later report replaces the queued one, so that the queue holds at most
// one progress event of each attempt. It may be used by any goroutine.
type progressTable struct {
	mu     sync.Mutex
	queued map[platform.EventSource]attemptProgress
}

func newProgressTable() *progressTable {
	return &progressTable{queued: map[platform.EventSource]attemptProgress{}}
}

// record stores the progress of an attempt, and reports whether an event must be enqueued for it: not if one is queued.
func (t *progressTable) record(attempt platform.EventSource, progress attemptProgress) (enqueue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier, queued := t.queued[attempt]
	if queued {
		progress = earlier.mergeWith(progress)
	}
	t.queued[attempt] = progress
	return !queued
}

// take removes and returns the progress of an attempt whose event is handled.
func (t *progressTable) take(attempt platform.EventSource) attemptProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	progress := t.queued[attempt]
	delete(t.queued, attempt)
	return progress
}
