package chaos

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"
)

// logLine holds the fields of a process's log line that the harness reads.
type logLine struct {
	Time       time.Time `json:"time"`
	Msg        string    `json:"msg"`
	Part       string    `json:"part"`
	Member     string    `json:"member"`
	What       string    `json:"what"`
	Why        string    `json:"why"`
	By         string    `json:"by"`
	Inc        uint64    `json:"incarnation"`
	InstanceID uint64    `json:"instance"`
	Version    int64     `json:"version"`
	Kind       int       `json:"kind"`
	ID         string    `json:"id"`
	Worker     string    `json:"worker"`
	Workers    []struct {
		ID    string `json:"ID"`
		State string `json:"State"`
	} `json:"workers"`
	Subject string `json:"of"`
	Grant   uint64 `json:"permit"`
	Out     int    `json:"out"`
	Limit   int    `json:"most"`
	Group   string `json:"group"`

	Revision string `json:"revision"`
	Bytes    int    `json:"bytes"`

	// Fields of a membership change.
	Event      string `json:"event"`
	Reason     string `json:"reason"`
	ReportedBy string `json:"reported_by"`
}

// readLine handles a line of the process's log.
func (p *process) readLine(line []byte) {
	if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) {
		p.cluster.errorf("crash", "%s: %s", p.name, line)
	}
	if !bytes.HasPrefix(line, []byte("{")) {
		return
	}
	var l logLine
	err := json.Unmarshal(line, &l)
	var other *json.UnmarshalTypeError // some keys have another type in other lines: the remaining fields are still used
	if err == nil || errors.As(err, &other) {
		p.cluster.handleLogLine(p, &l)
	}
}
