package compat

import (
	"net/http"
	"runtime"
	"testing"
	"time"
)

// settleTime is how long a state has to last to count.
const settleTime = 500 * time.Millisecond

// operatorCall makes a call to the control address of the process, which must accept it.
func (p *process) operatorCall(t *testing.T, path string) {
	t.Helper()
	answer, err := http.Post("http://"+p.control+path, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("%s: %s answered %d", p.name, path, answer.StatusCode)
	}
}

// readyToClients reports whether the node says at the clients' address that it is ready.
func (n *movingNode) readyToClients() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + n.listen + "/ready")
	if err != nil {
		n.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// expectDrained fails if the node becomes ready within settleTime, to clients or by one of the given processes.
func (n *movingNode) expectDrained(when string, processes ...*process) {
	n.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.readyToClients() {
			n.Fatalf("%s: the node says that it is ready", when)
		}
		for _, p := range processes {
			if p.ready() {
				n.Fatalf("%s: %s says that it is ready", when, p.name)
			}
		}
	}
}

// TestReplacementKeepsDrain guards against a drain that ends because the process which an operator has asked for it is replaced: it
// lasts until an operator ends it, whichever process serves by then.
func TestReplacementKeepsDrain(t *testing.T) {
	runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
	n := newMovingNode(t, buildProgram(t, repositoryRoot(t), "present"))
	first := n.start()
	first.operatorCall(t, "/-/drain")
	second := n.launch()
	second.expectMetrics(t, "gw_workers_known 1")
	n.expectDrained("replaced", first, second)
	first.shutDown(t)
	n.expectDrained("the old process has ended", second)
	second.operatorCall(t, "/-/resume")
	eventually(t, "the node is ready again", func() bool { return second.ready() && n.readyToClients() })

	third := n.start()
	third.operatorCall(t, "/-/drain")
	n.expectDrained("drained after a replacement", third)
	n.kill(third)
	n.expectDrained("the new process has died", second)
	fourth := n.launch()
	fourth.expectMetrics(t, "gw_workers_known 1")
	second.operatorCall(t, "/-/resume") // the old process tells the new one
	eventually(t, "the new process is ready", func() bool { return fourth.ready() && n.readyToClients() })
	second.shutDown(t)
}
