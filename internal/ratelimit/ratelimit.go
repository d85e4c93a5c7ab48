// Package ratelimit delays goroutines that read from a peer, so that what the peer sends without end takes a bounded share of
// the node's cores.
package ratelimit

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limiter is a token bucket. Goroutines that wait for tokens take turns: each has one wait at a time, and they are served in the
// order in which they began. It is safe for concurrent use.
type Limiter struct {
	bucket *rate.Limiter
	delays atomic.Int64
}

// New returns a limiter with the given number of tokens a second, of which up to burst are saved up.
func New(perSecond, burst int) *Limiter {
	return &Limiter{bucket: rate.NewLimiter(rate.Limit(perSecond), max(burst, 1))}
}

// Delays returns how often a goroutine had to wait.
func (l *Limiter) Delays() int64 { return l.delays.Load() }

// Wait takes tokens, any number of them, and waits until they are available. It returns false if ctx ends first.
func (l *Limiter) Wait(ctx context.Context, tokens int) bool {
	for tokens > 0 {
		part := min(tokens, l.bucket.Burst())
		tokens -= part
		if !l.waitPart(ctx, part) {
			return false
		}
	}
	return true
}

// waitPart is Wait for at most burst tokens.
func (l *Limiter) waitPart(ctx context.Context, tokens int) bool {
	reservation := l.bucket.ReserveN(time.Now(), tokens)
	delay := reservation.Delay()
	if delay == 0 {
		return true
	}
	l.delays.Add(1)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		reservation.Cancel()
		return false
	}
}
