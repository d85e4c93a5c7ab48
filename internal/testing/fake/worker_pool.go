package fake

import (
	"time"
)

// WorkerPool is the state shared by the workers of one service: the idempotency keys seen by each deduplication group.
type WorkerPool struct {
	Clock        Clock
	Observer     Observer
	Classes      map[string]Class
	firstArrival map[string]time.Time // first arrival, by group and key
	effects      map[string]int       // jobs run and not dropped as duplicates, by group and key, and by class and key
}

// Class is a worker's view of a class of jobs.
type Class struct {
	Keyed  bool
	Scope  string // "all", "zone" or "cell"
	Window time.Duration
}

// NewWorkerPool returns a pool without workers.
func NewWorkerPool(c Clock, w Observer, classes map[string]Class) *WorkerPool {
	return &WorkerPool{Clock: c, Observer: w, Classes: classes, firstArrival: map[string]time.Time{}, effects: map[string]int{}}
}

// Effects returns how often the job with the given key ("class/key") took effect.
func (f *WorkerPool) Effects(key string) int { return f.effects[key] }
