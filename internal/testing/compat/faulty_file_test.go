package compat

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
)

// TestReplacedWithFaultyFile guards against a node that is gone, or runs with other settings than its operator was told, because its
// process is replaced after a reload has rejected the file: the configuration in force stays in force, whole.
func TestReplacedWithFaultyFile(t *testing.T) {
	program := buildProgram(t, repositoryRoot(t), "present")
	for name, spoil := range map[string]func(text string) string{
		"cut off": func(text string) string { return text[:len(text)/2] },
		"empty":   func(string) string { return "" },
		"short of a key": func(text string) string {
			return strings.NewReplacer(`"az":"a",`, "", `"name":"job"`, `"name":"other"`).Replace(text)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runtime.LockOSThread() // Pdeathsig is sent when the thread that started the process exits
			n := newMovingNode(t, program)
			p := n.start()
			path := filepath.Join(n.folder, "config.json")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			spoilt := spoil(string(text))
			if spoilt == string(text) {
				t.Fatal("the file is as it was")
			}
			n.replaceFile(path, spoilt)
			p.command.Process.Signal(syscall.SIGHUP)
			p.expectMetrics(t, "gw_reloads_failed 1")
			for range 2 {
				old := p
				p = launchProcess(t, "replacement of "+old.name, program, path, n.folder,
					"GW_DISCOVERY="+n.variable, "GW_LISTEN="+n.listen)
				eventually(t, p.name+" is ready", p.ready)
				old.shutDown(t)
				p.expectMetrics(t, `gw_served{class="job"} 0`)
				n.expectHears(p)
			}
			n.replaceFile(path, strings.Replace(string(text), `"name":"job"`, `"name":"new"`, 1))
			p.command.Process.Signal(syscall.SIGHUP)
			p.expectMetrics(t, "gw_reloads_ok 1", `gw_served{class="new"} 0`)
		})
	}
}
