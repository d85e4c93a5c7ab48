package badclients

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Outcome is how a request of a sound client ended.
type Outcome struct {
	ID       string
	Status   int // 0: there was no answer
	Took     time.Duration
	Err      error
	Unserved bool // it was written whole, and got neither an answer nor a close in time
}

// answerGrace is how long after a request's time its answer may come at the latest.
const answerGrace = 550 * time.Millisecond

// SoundClients send requests at a steady rate and keep their connections, as the protocol wants it. A request that crosses the end of
// a kept connection is sent once more on a new one.
type SoundClients struct {
	cluster *Cluster
	timeout time.Duration
	class   string
	Fresh   bool   // each request goes on a connection of its own
	Body    string // of each request

	mu       sync.Mutex
	idle     []*Client
	outcomes []Outcome
	running  sync.WaitGroup
}

// NewSoundClients returns clients that send requests of a class.
func (c *Cluster) NewSoundClients(class string, timeout time.Duration) *SoundClients {
	return &SoundClients{cluster: c, class: class, timeout: timeout, Body: "{}"}
}

// Run sends count requests at the given interval, waits for their ends and returns them.
func (s *SoundClients) Run(count int, interval time.Duration) []Outcome {
	for i := range count {
		id := fmt.Sprintf("sound-%s-%d", s.class, i)
		s.running.Go(func() {
			outcome := s.request(id)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.outcomes = append(s.outcomes, outcome)
		})
		time.Sleep(interval)
	}
	s.running.Wait()
	return s.outcomes
}

// request sends a request and waits for its end.
func (s *SoundClients) request(id string) Outcome {
	client, kept := s.takeIdle()
	for {
		var err error
		if client == nil {
			client, err = s.cluster.Dial()
		}
		if err != nil {
			return Outcome{ID: id, Err: err}
		}
		outcome, keep := s.exchange(client, id)
		if keep {
			s.mu.Lock()
			s.idle = append(s.idle, client)
			s.mu.Unlock()
		} else {
			client.Close()
		}
		if outcome.Status != 0 || !kept || outcome.Unserved {
			return outcome
		}
		client, kept = nil, false
	}
}

// takeIdle returns a kept connection, or nil.
func (s *SoundClients) takeIdle() (client *Client, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil, false
	}
	client = s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	return client, true
}

// exchange sends a request on a connection and reads the answer. keep reports whether the connection can be used again.
func (s *SoundClients) exchange(client *Client, id string) (outcome Outcome, keep bool) {
	begin := time.Now()
	outcome.ID = id
	if _, outcome.Err = client.Write(Request(s.class, id, s.timeout, s.Body)); outcome.Err != nil {
		return outcome, false
	}
	answer, err := client.ReadAnswer(begin.Add(s.timeout + answerGrace))
	outcome.Took, outcome.Err, outcome.Status = time.Since(begin), err, answer.Status
	outcome.Unserved = errors.Is(err, os.ErrDeadlineExceeded)
	return outcome, err == nil && !answer.Close && !s.Fresh
}

// ByStatus counts outcomes by status, 0 for none.
func ByStatus(outcomes []Outcome) map[int]int {
	counts := map[int]int{}
	for _, o := range outcomes {
		counts[o.Status]++
	}
	return counts
}
