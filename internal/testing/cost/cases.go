// Package cost measures the allocations, allocated bytes and system calls of a node per request. The node runs alone in a
// child process; its clients, its worker and discovery are fakes on loopback in the measuring process.
package cost

import (
	"fmt"
	"time"

	"swiftdeal/internal/testing/fake"
)

// Case is a kind of request to measure.
type Case struct {
	Name    string
	Class   string
	Body    int  // bytes
	Result  int  // bytes
	Fresh   bool // each request has a connection of its own
	Slow    bool // the client reads slowly
	Outcome Outcome
}

// Outcome is the expected outcome of a request.
type Outcome string

// Outcomes. The values are part of the names of cases, which are keys of the baseline.
const (
	OneAttempt Outcome = "once"    // served by the first attempt
	Refused    Outcome = "refused" // rejected at admission
)

// Sizes of bodies and results in bytes.
const (
	small = 0 // in addition to the few bytes that every body and result has
	page  = 4 << 10
	large = 60 << 10
)

var classes = []string{"slot-check", "book-visit", "visit-summary", "send-reminder"}

// Cases returns all cases in the order in which they are measured.
func Cases() (list []Case) {
	add := func(c Case) {
		conn := "kept"
		if c.Fresh {
			conn = "fresh"
		}
		if c.Slow {
			conn += "-slow"
		}
		c.Name = fmt.Sprintf("%s/body=%d/result=%d/%s/%s", c.Class, c.Body, c.Result, conn, c.Outcome)
		list = append(list, c)
	}
	for _, class := range classes {
		for _, body := range []int{small, page, large} {
			add(Case{Class: class, Body: body, Result: small, Outcome: OneAttempt})
		}
		add(Case{Class: class, Body: small, Result: large, Outcome: OneAttempt})
		add(Case{Class: class, Body: small, Result: small, Fresh: true, Outcome: OneAttempt})
		add(Case{Class: class, Body: small, Result: small, Outcome: Refused})
	}
	return list
}

// job returns the n-th request of the case.
func (c *Case) job(n int) *fake.Job {
	j := &fake.Job{
		Name: fmt.Sprintf("q%07d", n), Class: c.Class, Work: 1e-6, Slots: 1, Memory: 1, Hint: 1000, Body: c.Body,
		Timeout: time.Hour, Key: fmt.Sprintf("k%07d", n),
	}
	if c.Fresh {
		j.Shape = fake.Single
	} else if c.Slow {
		j.Shape = fake.SlowRead
	}
	if c.Outcome == Refused {
		j.Class = "no-such-class"
	}
	return j
}
