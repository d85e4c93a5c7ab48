package listen

import "time"

// minBlockedAccept is the duration from which a call of accept counts as blocked, which means that the accept queue
// was empty.
const minBlockedAccept = 5 * time.Millisecond

// queueDelay estimates how long connections may have waited in the accept queue while none were accepted.
type queueDelay struct {
	lastAcceptAt time.Time     // when the last connection was accepted
	delayedSince time.Time     // since when connections may have been waiting; zero: none have
	resumedAt    time.Time     // when a connection was first accepted after that; zero: not yet
	last         time.Duration // upper bound on the wait of the last connection
}

// acceptStarted is called at the start of Accept. If the last connection was accepted at least minBlockedAccept ago,
// connections may have been waiting since then.
func (d *queueDelay) acceptStarted() {
	if d.lastAcceptAt.IsZero() || time.Since(d.lastAcceptAt) < minBlockedAccept {
		return
	}
	d.resumedAt = time.Time{}
	if d.delayedSince.IsZero() {
		d.delayedSince = d.lastAcceptAt
	}
}

// acceptFailed records a failed call of accept.
func (d *queueDelay) acceptFailed(calledAt time.Time) {
	if d.delayedSince.IsZero() {
		d.delayedSince = calledAt
	}
	d.resumedAt = time.Time{}
}

// acceptSucceeded computes how long the accepted connection may have waited. The estimate is zero if accept blocked,
// or if connections have been accepted again for longer than they were delayed, by which time the connections queued
// during the delay have been accepted.
func (d *queueDelay) acceptSucceeded(calledAt time.Time) {
	now := time.Now()
	d.lastAcceptAt = now
	d.last = 0
	if d.delayedSince.IsZero() {
		return
	}
	if d.resumedAt.IsZero() {
		d.resumedAt = now
	}
	acceptBlocked := now.Sub(calledAt) >= minBlockedAccept
	caughtUp := now.Sub(d.resumedAt) > d.resumedAt.Sub(d.delayedSince)
	if acceptBlocked || caughtUp {
		d.delayedSince = time.Time{}
		d.resumedAt = time.Time{}
		return
	}
	d.last = now.Sub(d.delayedSince)
}
