package ratelimit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Tokens come at the rate, beyond a burst, however many one call takes. A wait ends with its context, and the tokens that it has not
// used are there for others.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, start := New(10, 5), time.Now()
		if !limiter.Wait(t.Context(), 5) || time.Since(start) != 0 || limiter.Delays() != 0 {
			t.Errorf("the burst took %v", time.Since(start))
		}
		canceled, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if limiter.Wait(canceled, 3) || time.Since(start) != 50*time.Millisecond {
			t.Errorf("a wait with a timeout of 50 ms ended after %v", time.Since(start))
		}
		if !limiter.Wait(t.Context(), 20) || time.Since(start) != 2*time.Second {
			t.Errorf("20 tokens at 10 a second were there after %v", time.Since(start))
		}
	})
}
