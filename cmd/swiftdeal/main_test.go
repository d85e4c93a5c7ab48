package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"swiftdeal/internal/config"
	"swiftdeal/internal/node"
)

const text = `{"listen":"127.0.0.1:8080","discovery":"127.0.0.1:1","seed":"1","settings":{"profiles":[{"name":"job","aimMs":1,"deadlineMs":1,"effect":"retryable","worth":1}]}}`

// A reload takes the file's discovery though the environment names another: a process cannot be told a new
// variable. A faulty file changes nothing, and the error names the key.
func TestReread(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_DISCOVERY", "127.0.0.1:2")
	running := new(config.Config)
	reload := func(text string) node.Reload {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hup, reloads := make(chan os.Signal, 1), make(chan node.Reload, 1)
		hup <- syscall.SIGHUP
		close(hup)
		reread(hup, running, reloads)
		close(reloads)
		return <-reloads
	}
	if r := reload(text); r.Err != nil || r.Config.Discovery != "127.0.0.1:1" {
		t.Errorf("reloaded %+v", r)
	}
	if c, err := config.Load(os.Getenv, os.ReadFile); err != nil || c.Discovery != "127.0.0.1:2" {
		t.Errorf("at a start: %+v, %v", c, err)
	}
	if r := reload(strings.Replace(text, `"retryable"`, `"odd"`, 1)); r.Err == nil || !strings.Contains(r.Err.Error(), "profiles[0].effect") {
		t.Errorf("faulty: reloaded %+v", r)
	}
}
