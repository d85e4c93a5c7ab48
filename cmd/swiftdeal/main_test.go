package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"swiftdeal/internal/config"
	"swiftdeal/internal/node"

	"github.com/alecthomas/kong"
)

const configText = `{"listen":"127.0.0.1:8080","discovery":"127.0.0.1:1","seed":"1","settings":{"profiles":[{"name":"job","aimMs":1,"deadlineMs":1,"effect":"retryable","worth":1}]}}`

// A reload uses the discovery address in the file rather than that in the environment, since the environment of a running
// process cannot be changed. An invalid file is rejected with an error that names the key.
func TestReloadOnSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", path)
	t.Setenv("GW_DISCOVERY", "127.0.0.1:2")
	running := new(config.Config)
	reload := func(text string) node.Reload {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		hangups, reloads := make(chan os.Signal, 1), make(chan node.Reload, 1)
		hangups <- syscall.SIGHUP
		close(hangups)
		reloadOnSignal(hangups, running, reloads)
		close(reloads)
		return <-reloads
	}
	if r := reload(configText); r.Err != nil || r.Config.Discovery.Preferred() != "127.0.0.1:1" {
		t.Errorf("reloaded %+v", r)
	}
	if c, err := config.Load(os.Getenv, os.ReadFile); err != nil || c.Discovery.Preferred() != "127.0.0.1:2" {
		t.Errorf("at a start: %+v, %v", c, err)
	}
	if r := reload(strings.Replace(configText, `"retryable"`, `"odd"`, 1)); r.Err == nil || !strings.Contains(r.Err.Error(), "profiles[0].effect") {
		t.Errorf("faulty: reloaded %+v", r)
	}
}

// check --running describes the changes that a SIGHUP would make, key by key, and reports when it would make none as the
// new file is invalid.
func TestCheckRunning(t *testing.T) {
	old := strings.Replace(configText, `"settings":{`, `"settings":{"limits":{"maxAttempts":4},"prices":{"probe":0.1},`, 1)
	describe := func(from, to string) (string, error) {
		var b strings.Builder
		updated := strings.Replace(old, from, to, 1)
		if updated == old {
			t.Fatalf("%s is not there", from)
		}
		err := describeReload(&b, func(k string) string { return map[string]string{"GW_CONFIG": "new"}[k] }, func(name string) ([]byte, error) {
			return []byte(map[string]string{"new": updated, "old": old}[name]), nil
		}, "old")
		return b.String(), err
	}
	for _, c := range []struct{ from, to, want string }{
		{`"name":"job"`, `"name":"other"`, "at SIGHUP: class other is added\nat SIGHUP: class job is dropped: jobs that are open end under it, new ones get 404\n"},
		{`"aimMs":1`, `"aimMs":2`, "at SIGHUP: class job changes for jobs that come from then on\n"},
		{`"maxAttempts":4`, `"maxAttempts":2`, "at SIGHUP: maxAttempts is 2, was 4, for jobs that come from then on\n"},
		{`"probe":0.1`, `"probe":0.2`, "at SIGHUP: what is allowed, prices or obligations change\n"},
		{`127.0.0.1:1"`, `127.0.0.1:9"`, "at SIGHUP: discovery is 127.0.0.1:9, was 127.0.0.1:1\n"},
		{`8080`, `8081`, "with a restart: listen\n"},
		{`"settings":{`, `"settings":{"me":1,"balancers":2,`, "with a restart: settings\n"},
	} {
		if got, err := describe(c.from, c.to); err != nil || got != c.want {
			t.Errorf("%s for %s: %q, %v", c.to, c.from, got, err)
		}
	}
	if got, err := describe(`"maxAttempts":4`, `"maxAttempts":0`); err == nil || got != "" || !strings.Contains(err.Error(), "change nothing") {
		t.Errorf("faulty: %q, %v", got, err)
	}
}

// kong must accept the declared commands: embedded structs could declare a flag twice.
func TestCommandLine(t *testing.T) {
	k, err := kong.New(&commandLine{}, kong.Name("swiftdeal"))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"fleet drain node n7 --control x:1 --why w --wait 2m", "fleet resume worker w1 --control x:1", "fleet write-off node n1 --control x:1", "fleet status --json --control x:1",
		"fleet release status --control x:1", "fleet release halt --control x:1 --why x", "fleet duty --did 7 --control x:1", "fleet replace n1 n2 --control x:1",
	} {
		if _, err := k.Parse(strings.Fields(line)); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
}
