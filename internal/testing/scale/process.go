package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"swiftdeal/internal/testing/subprocess"
)

// party is a process of a run, or what stands for it in the tool's own.
type party interface {
	do(Command) (Reply, error)
	pid() int
	end()
}

// localChild is a party without a process of its own: for tests.
type localChild struct{ child *Child }

func (w localChild) do(cmd Command) (Reply, error) {
	r := w.child.Do(cmd)
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

func (w localChild) pid() int { return os.Getpid() }

func (w localChild) end() { w.child.Close() }

// child is a process of the tool's own program.
type child struct {
	name    string
	cmd     *exec.Cmd
	input   io.WriteCloser
	replies *json.Decoder
	mu      sync.Mutex
	log     *os.File
	once    sync.Once
}

// replyTimeout is how long a process may take to end before it is killed.
const replyTimeout = 10 * time.Second

func startChild(name, dir string, args []string) (*child, error) {
	k := &child{name: name, cmd: exec.Command(args[0], args[1:]...)}
	var err error
	if k.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	k.cmd.Stderr = k.log
	k.cmd.Env = append(os.Environ(), "GOTRACEBACK=all")
	out, err := k.cmd.StdoutPipe()
	if err == nil {
		k.input, err = k.cmd.StdinPipe()
	}
	if err == nil {
		err = subprocess.Start(k.cmd)
	}
	if err != nil {
		k.log.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	k.replies = json.NewDecoder(bufio.NewReaderSize(out, 1<<20))
	return k, nil
}

func (k *child) do(cmd Command) (r Reply, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err = json.NewEncoder(k.input).Encode(cmd); err == nil {
		err = k.replies.Decode(&r)
	}
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err != nil {
		err = fmt.Errorf("%s (process %d) at %q: %w", k.name, k.pid(), cmd.Action, err)
	}
	return r, err
}

func (k *child) pid() int { return k.cmd.Process.Pid }

// end ends the process: first by the end of its commands, then by its id.
func (k *child) end() {
	k.once.Do(func() {
		k.input.Close()
		kill := time.AfterFunc(replyTimeout, func() { k.cmd.Process.Kill() })
		k.cmd.Wait()
		kill.Stop()
		k.log.Close()
	})
}

// nodeProcess is a process of the program.
type nodeProcess struct {
	member int
	cmd    *exec.Cmd
	log    *os.File
	config string // its file
	at     string // control address
	http   *http.Client
	ended  chan struct{}
	once   sync.Once
}

// startReal starts `swiftdeal serve --fleet` for a member.
func startReal(bin, dir string, p *Plan, b addressBlock, i int) (*nodeProcess, error) {
	own := filepath.Join(dir, memberName(i))
	if err := os.MkdirAll(own, 0o755); err != nil {
		return nil, err
	}
	r := &nodeProcess{
		member: i,
		config: filepath.Join(own, "config.json"),
		at:     b.member(i, controlPort),
		ended:  make(chan struct{}),
		http:   &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f := p.files(b, i, dir)
	for file, text := range map[string][]byte{r.config: f.Config, filepath.Join(own, "fleet.toml"): f.Fleet} {
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return nil, err
		}
	}
	var err error
	if r.log, err = os.Create(filepath.Join(own, "log")); err != nil {
		return nil, err
	}
	r.cmd = exec.Command(bin, "serve", "--log-level", "warn", "--fleet", filepath.Join(own, "fleet.toml"))
	r.cmd.Env = []string{"GW_CONFIG=" + r.config, "TMPDIR=" + own, "PATH=" + os.Getenv("PATH")}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	if err := subprocess.Start(r.cmd); err != nil {
		r.log.Close()
		return nil, fmt.Errorf("%s: %w", bin, err)
	}
	go func() {
		r.cmd.Wait()
		close(r.ended)
	}()
	return r, nil
}

// end kills the process, by its id.
func (r *nodeProcess) end() {
	r.once.Do(func() {
		r.cmd.Process.Kill()
		<-r.ended
		r.log.Close()
	})
}

// metrics are a node's figures, by name and label.
func (r *nodeProcess) metrics() (map[string]float64, error) {
	resp, err := r.http.Get("http://" + r.at + "/-/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	m := map[string]float64{}
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		line := in.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		if i := strings.LastIndexByte(line, ' '); i > 0 {
			m[line[:i]], _ = strconv.ParseFloat(line[i+1:], 64)
		}
	}
	return m, in.Err()
}

// used is a process's processor time by the operating system, in seconds of a core, to a hundredth.
func used(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, ok := bytes.Cut(text, []byte(") "))
	f := strings.Fields(string(rest))
	if err != nil || !ok || len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / 100
}
