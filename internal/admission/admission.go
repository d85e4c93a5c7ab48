// Package admission decides whether a request that was taken in may enter: its class and key, its id, and
// the room for it. It also winds the backstop that answers if nothing else has.
package admission

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/config"
	"swiftdeal/internal/guard"
	"swiftdeal/internal/request"
)

// Stage admits requests.
type Stage struct {
	limits  config.Limits
	classes atomic.Pointer[offer]
	late    func(*request.Context) // told of a request that the backstop has answered

	mu   sync.Mutex
	end  time.Time            // while the node drains: when what still comes must be answered
	open map[string]*backstop // of each open request, by id
}

// offer is the classes that may be asked for: their places by name, and all places.
type offer struct {
	all    []balance.Class
	byName map[string]int
}

// backstop answers a request if nothing else has.
type backstop struct {
	*time.Timer
	at time.Time
}

// New returns the stage.
func New(l config.Limits, all []balance.Class, late func(*request.Context)) *Stage {
	s := &Stage{limits: l, late: late, open: map[string]*backstop{}}
	byName := map[string]int{}
	for i, c := range all {
		byName[c.Name] = i
	}
	s.Retune(all, byName)
	return s
}

// Retune sets the classes that may be asked for, by name, and what stands in each place.
func (s *Stage) Retune(all []balance.Class, byName map[string]int) {
	s.classes.Store(&offer{all, byName})
}

// Enter admits a request, or answers it. Each one admitted must Leave.
func (s *Stage) Enter(c *request.Context) bool {
	now := s.classes.Load()
	class, ok := now.byName[c.ClassName]
	if !ok {
		return refuse(c, request.UnknownClass, fmt.Sprintf("no class %q", c.ClassName))
	}
	c.Class, c.Policy = class, guard.PolicyOf(now.all[class])
	if now.all[class].Effect == balance.Keyed && c.Header.Get("Idempotency-Key") == "" {
		return refuse(c, request.Malformed, "Idempotency-Key: missing")
	}
	if c.Patience == 0 { // not told: the class's own
		c.Patience = now.all[class].Deadline
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Deadline = c.Arrived.Add(c.Patience)
	// Guards against a drain that looks like an impatient client: the decisions take a short patience for that of
	// a late try, whose aim is lost, and would refuse what can still be served.
	c.Patience = max(time.Until(c.Deadline), time.Millisecond) // reading the body took some of it
	if !s.end.IsZero() && c.Deadline.After(s.end) {
		c.Deadline = s.end
	}
	if s.open[c.ID] != nil {
		return refuse(c, request.Malformed, "X-Request-Id: in use by an open request")
	}
	if !s.end.IsZero() && time.Until(s.end) <= s.limits.AnswerMargin { // no time is left to try it
		return refuse(c, request.Refused, "the node ends")
	}
	if len(s.open) >= s.limits.OpenRequests {
		c.Finish(request.Answer{Verdict: request.Refused, Reason: "too many open requests", Wait: s.limits.RefusedFor})
		return false
	}
	s.wind(c)
	return true
}

// wind sets the backstop; s.mu is held. Guards against a request that no stage answers: whatever goes wrong, the client
// hears of it in time.
func (s *Stage) wind(c *request.Context) {
	at := c.Deadline.Add(-s.limits.AnswerMargin)
	s.open[c.ID] = &backstop{at: at, Timer: time.AfterFunc(time.Until(at), func() {
		if c.Finish(request.Answer{Verdict: request.Failed, Reason: "out of time"}) {
			s.late(c)
		}
	})}
}

// Adopt admits a request that another process had admitted, whatever the room.
func (s *Stage) Adopt(c *request.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c.ID] != nil {
		return refuse(c, request.Failed, "in use by an open request")
	}
	s.wind(c)
	return true
}

func refuse(c *request.Context, v request.Verdict, reason string) bool {
	c.Finish(request.Answer{Verdict: v, Reason: reason})
	return false
}

// Leave makes room again once the request is over.
func (s *Stage) Leave(c *request.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.open[c.ID]; t != nil {
		t.Stop()
		delete(s.open, c.ID)
	}
}

// Expire has all that is open answered by the given time: the node will not live longer.
func (s *Stage) Expire(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := end.Add(-s.limits.AnswerMargin - s.limits.GiveUp/2) // a moment for the answers to go out
	for _, b := range s.open {
		if at.Before(b.at) && b.Stop() {
			b.at = at
			b.Reset(time.Until(at))
		}
	}
}

// Drain says by when what is admitted from now on must be answered: the node may not live longer.
func (s *Stage) Drain(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = end
}

// Resize sets how many requests may be open.
func (s *Stage) Resize(open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.OpenRequests = open
}

// Open is the number of open requests.
func (s *Stage) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
