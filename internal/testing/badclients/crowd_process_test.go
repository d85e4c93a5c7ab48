package badclients

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

// Environment variables of a process of this test's program that plays a flooding crowd in place of the tests. A crowd keeps all of its
// process's threads busy: fakes in the same process would see requests late.
const (
	crowdAddressVariable = "BADCLIENTS_CROWD_ADDRESS" // of the node
	crowdPlanVariable    = "BADCLIENTS_CROWD_PLAN"    // a crowdPlan
)

// crowdPlan is what a flooding crowd does: each client sends a request, floods behind it and leaves, and then another one comes.
type crowdPlan struct {
	Clients    int  // at a time
	MixedTexts bool // clients flood with different texts; else, with different requests
	MixedTimes bool // clients flood for different times; else, for floodTime
	MixedWays  bool // clients leave in different ways; else, they close
}

// departure is when a client left.
type departure struct {
	ID string // of its first request
	At time.Time
}

// floodingCrowd is a flooding crowd in a process of its own.
type floodingCrowd struct {
	command *exec.Cmd
	stop    io.Closer
	output  io.Reader
}

// startFloodingCrowd starts a crowd that ends with the test.
func startFloodingCrowd(t *testing.T, c *Cluster, plan crowdPlan) *floodingCrowd {
	t.Helper()
	text, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(executable)
	command.Env = append(os.Environ(), crowdAddressVariable+"="+c.Address(), crowdPlanVariable+"="+string(text))
	command.Stderr = os.Stderr
	stop, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if command.ProcessState == nil {
			command.Process.Kill()
			command.Wait()
		}
	})
	return &floodingCrowd{command, stop, output}
}

// end ends the crowd and returns who has left.
func (crowd *floodingCrowd) end(t *testing.T) (departures []departure) {
	t.Helper()
	crowd.stop.Close()
	if err := json.NewDecoder(crowd.output).Decode(&departures); err != nil {
		t.Fatal(err)
	}
	if err := crowd.command.Wait(); err != nil {
		t.Error(err)
	}
	return departures
}

// judge ends the crowd, and fails the test for each attempt that began too late after its client had left.
func (crowd *floodingCrowd) judge(t *testing.T, c *Cluster) {
	t.Helper()
	departures := crowd.end(t)
	time.Sleep(time.Second)
	attempts, begun := c.Attempts(), 0
	for _, d := range departures {
		for _, at := range attempts[d.ID] {
			begun++
			if late := at.Sub(d.At); late > attemptGrace {
				t.Errorf("%s: sent on %.3f s after its client had left", d.ID, late.Seconds())
			}
		}
	}
	t.Logf("%d clients left, %d attempts of their requests began", len(departures), begun)
}

// playCrowd is the program of a crowd's process. It ends once its standard input does, and then writes who has left.
func playCrowd(address, planText string) error {
	var plan crowdPlan
	if err := json.Unmarshal([]byte(planText), &plan); err != nil {
		return err
	}
	stop := make(chan struct{})
	go func() {
		io.Copy(io.Discard, os.Stdin)
		close(stop)
	}()
	var mu sync.Mutex
	departures := []departure{}
	var clients sync.WaitGroup
	for i := range plan.Clients {
		clients.Go(func() {
			left := plan.floodAndLeave(address, i, stop)
			mu.Lock()
			defer mu.Unlock()
			departures = append(departures, left...)
		})
	}
	clients.Wait()
	return json.NewEncoder(os.Stdout).Encode(departures)
}

// floodAndLeave is one client after the other.
func (plan crowdPlan) floodAndLeave(address string, number int, stop <-chan struct{}) (left []departure) {
	text, flooding := plan.text(number), plan.floodTime(number)
	for round := 0; !stopped(stop, time.Millisecond); round++ {
		client, err := Dial(address)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("flood-%d-%d", number, round)
		client.Write(Request(testClasses[(number+round)%len(testClasses)].Name, id, 10*time.Second, "{}"))
		end := time.Now().Add(flooding)
		floodUntil(client, text, end)
		time.Sleep(time.Until(end))
		plan.leave(client, number+round)
		left = append(left, departure{id, time.Now()})
	}
	return left
}

// text returns what a client floods with.
func (plan crowdPlan) text(number int) []byte {
	const differentRequests = 200
	var texts [][]byte
	if plan.MixedTexts {
		for _, text := range floodTexts() {
			texts = append(texts, text)
		}
	}
	var requests strings.Builder
	for i := range differentRequests {
		requests.Write(Request("safe", fmt.Sprintf("behind-%d-%d", number, i), time.Second, "{}"))
	}
	texts = append(texts, []byte(requests.String()))
	return texts[number%len(texts)]
}

// floodTime returns how long a client floods.
func (plan crowdPlan) floodTime(number int) time.Duration {
	const differentTimes = 4
	if !plan.MixedTimes {
		return floodTime
	}
	return floodTime * time.Duration(1+number%differentTimes) / differentTimes
}

// leave has a client leave in one of the ways that a node may find out late.
func (plan crowdPlan) leave(client *Client, way int) {
	const halfClosedTime = 2 * time.Second
	switch {
	case plan.MixedWays && way%3 == 1:
		client.Reset()
	case plan.MixedWays && way%3 == 2:
		client.CloseWrite()
		time.AfterFunc(halfClosedTime, func() { client.Close() })
	default:
		client.Close()
	}
}
