package ingress

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"

	"swiftdeal/internal/ratelimit"
)

const (
	// unreservedBytes is what each connection may keep without a reservation.
	unreservedBytes = 16 << 10
	// maxReadAheadBytes is the most that a connection may keep. It exceeds the largest request.
	maxReadAheadBytes = 256 << 10
	// lineCost is what a line counts for beyond its length when reading is paced: lines are looked at one by one.
	lineCost = 32
	// refusalShare is how much slower refusals are written than requests are read: a written byte costs more.
	refusalShare = 8
	// requestBurstShare is the part of a second in which requests may come at once.
	requestBurstShare = 4
)

// ReadAheadBudget bounds what the connections that share it read ahead: the bytes that they keep together, and the pace of reading. It
// is safe for concurrent use.
type ReadAheadBudget struct {
	limiter  *ratelimit.Limiter // of reading
	refusals *ratelimit.Limiter // of writing refusals
	requests *ratelimit.Limiter // of requests that came behind an open one
	refused  atomic.Int64
	turns    readTurns

	mu        sync.Mutex
	freeBytes int
}

// NewReadAheadBudget returns a budget of bytes to keep, of bytes to read in a second, and of requests to serve in a second.
func NewReadAheadBudget(keptBytes, bytesPerSecond, requestsPerSecond int) *ReadAheadBudget {
	return &ReadAheadBudget{
		limiter:   ratelimit.New(bytesPerSecond, bytesPerSecond),
		refusals:  ratelimit.New(bytesPerSecond/refusalShare, bytesPerSecond/refusalShare),
		requests:  ratelimit.New(requestsPerSecond, requestsPerSecond/requestBurstShare),
		freeBytes: keptBytes,
	}
}

// Resize changes the bytes to keep by a difference. What is reserved stays reserved.
func (b *ReadAheadBudget) Resize(difference int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeBytes += difference
}

// Refused returns how many requests were refused because they were not kept.
func (b *ReadAheadBudget) Refused() int64 { return b.refused.Load() }

// ReadsDelayed returns how often reading had to wait.
func (b *ReadAheadBudget) ReadsDelayed() int64 { return b.limiter.Delays() }

// RequestsDelayed returns how many requests that came behind another one had to wait for their turn.
func (b *ReadAheadBudget) RequestsDelayed() int64 { return b.requests.Delays() }

// reserve takes bytes, if there are as many.
func (b *ReadAheadBudget) reserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freeBytes < bytes {
		return false
	}
	b.freeBytes -= bytes
	return true
}

// release gives reserved bytes back.
func (b *ReadAheadBudget) release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeBytes += bytes
}

// pay waits until the cost of what was read is available. It returns false if ctx ends first.
func (b *ReadAheadBudget) pay(ctx context.Context, cost int) bool { return b.limiter.Wait(ctx, cost) }

// PayForRefusals waits until refusals of the given size may be written.
func (b *ReadAheadBudget) PayForRefusals(bytes int) { b.refusals.Wait(context.Background(), bytes) }

// readCost returns what reading p counts for. looked says that its lines are looked at.
func readCost(p []byte, looked bool) int {
	if !looked {
		return len(p)
	}
	return len(p) + lineCost*bytes.Count(p, []byte("\n"))
}
