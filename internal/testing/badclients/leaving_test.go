package badclients

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftdeal/internal/testing/chaos"
)

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "badclients")
	if err != nil {
		return "", err
	}
	return chaos.Build(dir, "")
})

func TestMain(m *testing.M) {
	if address := os.Getenv(crowdAddressVariable); address != "" {
		if err := playCrowd(address, os.Getenv(crowdPlanVariable)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// testClasses are the classes of most tests.
var testClasses = []Class{
	{"safe", "retryable", 10 * time.Second}, {"keyed", "dedup", 10 * time.Second}, {"unsafe", "fragile", 10 * time.Second},
}

// start starts a cluster that ends with the test.
func start(t *testing.T, options Options) *Cluster {
	t.Helper()
	var err error
	if options.Program, err = program(); err != nil {
		t.Fatal(err)
	}
	options.Dir = t.TempDir()
	if options.Classes == nil {
		options.Classes = testClasses
	}
	c, err := Start(options)
	t.Cleanup(c.Close)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, c *Cluster) *Client {
	t.Helper()
	client, err := c.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

// send writes text to the node.
func send(t *testing.T, client *Client, text []byte) {
	t.Helper()
	if _, err := client.Write(text); err != nil {
		t.Fatal(err)
	}
}

// attemptGrace is how long after a client's close an attempt of its request may begin: 0.1 s, and 50 ms since these are sockets.
const attemptGrace = 150 * time.Millisecond

// leaver is a client that writes on behind its request, which waits, and leaves.
type leaver struct {
	name   string
	behind []byte // repeated up to bytes
	bytes  int    // written behind the request
	reset  bool
	leftAt time.Time
}

const everything = 64 << 20 // more than the system takes

func leavers() []*leaver {
	pipelined := Request("safe", "behind", time.Second, "{}")
	zeros := make([]byte, 1<<10)
	return []*leaver{
		{name: "nothing"},
		{name: "20KB", behind: zeros, bytes: 20 << 10},
		{name: "300KB", behind: zeros, bytes: 300 << 10},
		{name: "300KB-of-requests", behind: pipelined, bytes: 300 << 10},
		{name: "lines", behind: []byte("\n"), bytes: 1 << 20},
		{name: "everything", behind: zeros, bytes: everything},
		{name: "everything-of-requests", behind: pipelined, bytes: everything},
		{name: "large-request", behind: Request("safe", "large", time.Second, strings.Repeat("x", 60<<10)), bytes: 600 << 10},
		{name: "reset", behind: zeros, bytes: 300 << 10, reset: true},
	}
}

// play sends a request, writes on behind it and leaves.
func (l *leaver) play(client *Client, class string) error {
	if _, err := client.Write(Request(class, l.name, 10*time.Second, "{}")); err != nil {
		return err
	}
	if l.bytes > 0 {
		if _, err := client.Fill(l.behind, l.bytes, 300*time.Millisecond); err != nil {
			return err
		}
	}
	time.Sleep(100 * time.Millisecond)
	l.leftAt = time.Now()
	if l.reset {
		return client.Reset()
	}
	return client.Close()
}

// Guards against requests that are sent on after their clients have left: the end of a client's stream is behind what it wrote last,
// so a node that stops reading does not see it.
func TestClientLeavesBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Workers: 4, RunTime: 10 * time.Millisecond})
	c.SetFull(true)
	time.Sleep(500 * time.Millisecond) // the node learns it
	list := leavers()
	errs := make(chan error, len(list))
	for i, l := range list {
		client := dial(t, c)
		go func() { errs <- l.play(client, testClasses[i%len(testClasses)].Name) }()
	}
	for range list {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	time.Sleep(attemptGrace)
	c.SetFull(false)
	time.Sleep(4 * time.Second)
	expectNoLateAttempt(t, c, list)
}

// interimRequest sends a request that asks for an interim response (100), reads that, and writes on.
func interimRequest(t *testing.T, c *Cluster, class, id string, behind int) *Client {
	t.Helper()
	client := dial(t, c)
	text := Request(class, id, 10*time.Second, "{}")
	send(t, client, bytes.Replace(text, []byte("Content-Length"), []byte("Expect: 100-continue\r\nContent-Length"), 1))
	if line, err := client.reader.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("%q %v", line, err)
	}
	client.reader.ReadString('\n')
	if _, err := client.Fill(make([]byte, 1<<10), behind, 300*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against a client that leaves unnoticed because its request asks for an interim response: that is not its answer. One that stays
// is served.
func TestClientLeavesAfterInterimResponse(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Workers: 4, RunTime: 10 * time.Millisecond})
	c.SetFull(true)
	time.Sleep(500 * time.Millisecond)
	var list []*leaver
	for i := range 6 {
		l := &leaver{name: fmt.Sprint("interim-", i)}
		list = append(list, l)
		client := interimRequest(t, c, testClasses[i%len(testClasses)].Name, l.name, 400<<10<<(i%3))
		l.leftAt = time.Now()
		client.Close()
	}
	stays := interimRequest(t, c, "safe", "stays", 400<<10)
	time.Sleep(attemptGrace)
	c.SetFull(false)
	if answer, err := stays.ReadAnswer(time.Now().Add(5 * time.Second)); err != nil || answer.Body != resultPrefix+"stays" {
		t.Errorf("a client that stays: %+v %v", answer, err)
	}
	time.Sleep(2 * time.Second)
	expectNoLateAttempt(t, c, list)
}

// expectNoLateAttempt fails the test for each attempt that began after its client had left.
func expectNoLateAttempt(t *testing.T, c *Cluster, list []*leaver) {
	t.Helper()
	attempts := c.Attempts()
	for _, l := range list {
		for _, at := range attempts[l.name] {
			if late := at.Sub(l.leftAt); late > attemptGrace {
				t.Errorf("%s: sent on %.3f s after its client had left", l.name, late.Seconds())
			}
		}
	}
}

// Guards against a client that stays while it floods: its request is served, what is behind it is answered in order, in bounded memory,
// and other clients are served meanwhile.
func TestFloodingClientThatStaysIsServed(t *testing.T) {
	t.Parallel()
	const requests = 5000
	c := start(t, Options{Workers: 4, RunTime: time.Millisecond})
	c.SetFull(true)
	time.Sleep(500 * time.Millisecond)
	client := dial(t, c)
	send(t, client, Request("safe", "first", 10*time.Second, "{}"))
	go func() {
		for i := range requests {
			if _, err := client.Write(Request("safe", fmt.Sprint("behind-", i), 10*time.Second, strings.Repeat("x", i%2000))); err != nil {
				return
			}
		}
	}()
	time.Sleep(time.Second)
	c.SetFull(false)
	counts := map[int]int{}
	for i := range requests + 1 {
		answer, err := client.ReadAnswer(time.Now().Add(15 * time.Second))
		if err != nil {
			t.Fatalf("%v after %d answers: %v", err, i, counts)
		}
		if i == 0 && answer.Status != 200 {
			t.Errorf("the request before the flood: %+v", answer)
		}
		counts[answer.Status]++
	}
	if counts[200]+counts[503] != requests+1 || counts[503] == 0 {
		t.Errorf("answers by status: %v", counts)
	}
	t.Logf("answers by status: %v, memory %.1f MB, processor time %v", counts, c.Process().MemoryMB(), c.Process().CPU())
}

// Guards against the same after a replacement of the node's process: requests move to the new process with what their clients have sent
// behind them, and the clients leave before, during or after the move.
func TestClientLeavesDuringReplacement(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Workers: 4, RunTime: 10 * time.Millisecond})
	c.SetFull(true)
	time.Sleep(500 * time.Millisecond)
	predecessor := c.Process()
	var list []*leaver
	for i, leavesAfter := range []time.Duration{0, 20, 40, 60, 80, 100, 150, 200, 300, 800, 1500} {
		l := &leaver{name: fmt.Sprint("moved-", i), behind: make([]byte, 1<<10), bytes: 400 << 10}
		list = append(list, l)
		client := dial(t, c)
		send(t, client, Request(testClasses[i%len(testClasses)].Name, l.name, 10*time.Second, "{}"))
		go func() {
			time.Sleep(leavesAfter * time.Millisecond)
			client.Fill(l.behind, l.bytes, 300*time.Millisecond)
			l.leftAt = time.Now()
			client.Close()
		}()
	}
	stays := dial(t, c)
	send(t, stays, append(Request("safe", "stays", 10*time.Second, "{}"), Request("safe", "next", 10*time.Second, "{}")...))
	if _, err := c.StartProcess(); err != nil {
		t.Fatal(err)
	}
	predecessor.Terminate()
	time.Sleep(2 * time.Second)
	c.SetFull(false)
	for _, id := range []string{"stays", "next"} {
		if answer, err := stays.ReadAnswer(time.Now().Add(12 * time.Second)); err != nil || answer.Body != resultPrefix+id {
			t.Errorf("a client that stays: %+v %v", answer, err)
		}
	}
	time.Sleep(3 * time.Second)
	expectNoLateAttempt(t, c, list)
}

// Guards against a client that leaves unnoticed during a later one of several requests that it sent at once, on a connection that was
// used before. Only the first of them finds a worker with capacity.
func TestClientLeavesDuringPipelinedRequest(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Workers: 1, RunTime: 700 * time.Millisecond})
	var list []*leaver
	var left sync.WaitGroup
	for i, behind := range []int{0, 8 << 10, 100 << 10, 1 << 20} {
		l := &leaver{name: fmt.Sprint("second-", i), behind: Request("safe", "behind", time.Second, "{}"), bytes: behind}
		list = append(list, l)
		client := dial(t, c)
		send(t, client, Request("safe", fmt.Sprint("before-", i), 10*time.Second, "{}"))
		if answer, err := client.ReadAnswer(time.Now().Add(10 * time.Second)); err != nil || answer.Status != 200 {
			t.Fatalf("%+v %v", answer, err)
		}
		first := Request("safe", fmt.Sprint("first-", i), 10*time.Second, "{}")
		send(t, client, append(first, Request("unsafe", l.name, 10*time.Second, strings.Repeat("x", 6<<10))...))
		left.Go(func() {
			if l.bytes > 0 {
				client.Fill(l.behind, l.bytes, 300*time.Millisecond)
			}
			client.ReadAnswer(time.Now().Add(10 * time.Second))
			time.Sleep(200 * time.Millisecond)
			l.leftAt = time.Now()
			client.Close()
		})
		time.Sleep(300 * time.Millisecond) // the first is at the worker
		c.SetFull(true)
		left.Wait()
		time.Sleep(attemptGrace)
		c.SetFull(false)
	}
	time.Sleep(3 * time.Second)
	expectNoLateAttempt(t, c, list)
}
