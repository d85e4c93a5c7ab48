package chaos

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"swiftdeal/internal/controlplane"
	"swiftdeal/internal/controlplane/disruption"
)

// Call sends an operator's request to the control plane through a node.
func (f *Cluster) Call(at int, c controlplane.OperatorRequest) (r controlplane.Result, err error) {
	body, _ := json.Marshal(c)
	h := http.Client{Timeout: 10 * time.Second, Transport: f.client.Transport}
	resp, err := h.Post("http://"+f.Control(at)+"/-/fleet/call", "application/json", bytes.NewReader(body))
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("%s: %s", resp.Status, bytes.TrimSpace(text))
	}
	err = json.Unmarshal(text, &r)
	return r, err
}

// sendOperatorRequest sends an operator's request through a node and records the answer.
func (f *Cluster) sendOperatorRequest(at int, c controlplane.OperatorRequest) {
	c.RequestedBy = cmp.Or(c.RequestedBy, "operator")
	r, err := f.Call(at, c)
	text := r.Text
	if err != nil {
		text = err.Error()
	}
	f.event(
		Event{
			Kind: "operator", Actor: f.nodeName(at), Subject: c.Name,
			Text: fmt.Sprintf("%s: %v %s", c.Operation, r.OK, text),
		},
	)
	f.mu.Lock()
	if c.Operation == "write-off" && r.OK &&
		c.SubjectKind == disruption.KindNode { // a node written off no longer counts as out
		i := 0
		fmt.Sscanf(c.Name, "n%d", &i)
		f.exitLog = append(f.exitLog, exitEvent{time.Now(), i, 0, "off"})
	}
	f.replies = append(f.replies, string(c.Operation)+" "+c.Name+": "+text)
	f.mu.Unlock()
}
