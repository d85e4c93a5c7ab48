package config

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"swiftdeal/balance"
	"swiftdeal/internal/settings"
)

func init() { flag.Set("rapid.seed", "1") } // the same cases every time

const endpointText = `{"id":"s-1","addr":"127.0.0.1:80","zone":"a","kind":"m","cell":3,"state":"in_service","weight":4.0,"started_ms":1700000000000}`

const endpointListText = `{"version":41,"full":true,"servers":[` + endpointText + `]}`

const configText = `{"name":"n","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",` +
	`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":` + endpointListText + `,"settings":{"limits":{"connIdleMs":60000,` +
	`"dialTimeoutMs":150,"retryAfter":true,"maxRetryAfterMs":2000},"profiles":[{"name":"job","aimMs":400,"deadlineMs":10000,"effect":"retryable","worth":1}]}}`

func loadText(text string, env map[string]string) (*Config, error) {
	env["GW_CONFIG"] = "config.json"
	return Load(func(k string) string { return env[k] }, func(string) ([]byte, error) { return []byte(text), nil })
}

func TestLoad(t *testing.T) {
	c, err := loadText(configText, map[string]string{"GW_LISTEN": "127.0.0.2:1"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.2:1" || c.Discovery.Preferred() != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("%+v", c)
	}
	if w := c.CachedEndpoints.Workers(); len(w) != 1 || w[0].Cell != "3" || w[0].Status != balance.Ready ||
		w[0].StartedAt != 1700000000000*time.Millisecond {
		t.Errorf("known: %+v", w)
	}
	if l := c.Limits; l.WorkerIdleTimeout >= time.Minute || l.DialTimeout != 150*time.Millisecond || l.DrainTimeout <= 10*time.Second {
		t.Errorf("limits: %+v", l)
	}
	if c.Settings.Balance.MaxRetryAfter != 2*time.Second {
		t.Errorf("retry after %v", c.Settings.Balance.MaxRetryAfter)
	}
}

// Every error names the faulty key, so that an operator can find it.
func TestFaultyKeys(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"127.0.0.1:8080"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:8500"`, `""`, "discovery"},
		{"8c1f30d27a5be964", "xyz", "seed"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets"},
		{`"connIdleMs":60000`, `"connIdleMs":-1`, "connIdleMs"},
		{`"retryable"`, `"odd"`, "settings: profiles[0].effect"},
		{`"version":41,`, ``, "known: version"},
		{`"id":"s-1"`, `"id":""`, "known: servers[0].id"},
		{`"addr":"127.0.0.1:80"`, `"addr":"x"`, "known: servers[0].addr"},
		{`"in_service"`, `"asleep"`, "known: servers[0].state"},
		{`"weight":4.0`, `"weight":-4`, "known: servers[0].weight"},
		{`1700000000000`, `1e300`, "known: servers[0].started_ms"},
		{`"profiles"`, `"classes"`, "settings.profiles"},
		{`"settings"`, `"options"`, "settings: missing"},
	} {
		if !strings.Contains(configText, c.from) {
			t.Fatalf("%s is not in the configuration", c.from)
		}
		if _, err := loadText(strings.Replace(configText, c.from, c.to, 1), map[string]string{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: error %v, want %q in it", c.to, c.from, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, os.ReadFile); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("no configuration: %v", err)
	}
}

// A truncated or corrupted message of discovery is rejected as a whole and never crashes the node. If part of a list were
// taken for the full one, all workers missing from it would be taken out of service.
func TestEndpointListGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, len(endpointListText)-1).Draw(t, "cut")
		if g, err := ParseEndpointList([]byte(endpointListText[:n])); err == nil {
			t.Errorf("cut at %d: %+v", n, g)
		}
		garbled := []byte(endpointListText)
		garbled[n] = rapid.Byte().Draw(t, "byte")
		if g, err := ParseEndpointList(garbled); err == nil {
			for _, p := range g.Endpoints {
				if p.ID == "" || p.StartedAt < 0 || (p.Status != balance.Removed && checkAddress(p.Address) != nil) {
					t.Errorf("%s gives %+v", garbled, p)
				}
			}
		}
	})
	if _, err := ParseEndpointList([]byte(`{"version":1,"servers":[` + endpointText + "," + endpointText + `]}`)); err == nil {
		t.Error("a list with a duplicate worker ID is accepted")
	}
}

// All connections together stay within the number of sockets that the platform grants, whatever that number is.
func TestSocketBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2*reservedDescriptors, 1<<20).Draw(t, "sockets")
		c, err := loadText(strings.Replace(configText, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, n), 1), map[string]string{})
		if err != nil {
			t.Fatal(err)
		}
		if l := c.Limits; l.ClientConns+l.OverflowConns+l.WorkerConns+reservedDescriptors > n || l.ClientConns < 1 || l.OverflowConns < 1 || l.WorkerConns < 1 || l.OpenRequests < 1 {
			t.Errorf("%d sockets: %+v", n, l)
		}
	})
}

// In a drain, late requests are answered and their connections closed before a SIGKILL, which may come 0.7 s after the longest
// deadline, or 3.7 s after SIGTERM if that is sooner. The test checks the accept, idle, answer and late-idle times, but not
// DrainTimeout, which may be later than the SIGKILL.
// Clients, workers and the reserve never need more descriptors together than there are.
func TestDrainAndDescriptorsFit(t *testing.T) {
	for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second, 1800 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, sockets := range []int{96, 256, 300, 1024} {
			f := configFile{}
			f.Limits.Sockets = sockets
			s := settings.Settings{Balance: balance.Settings{Classes: []balance.Class{{Deadline: deadline / 2}, {Deadline: deadline}}}}
			l, err := f.Limits.deriveLimits(s)
			if err != nil {
				t.Fatal(err)
			}
			kill := min(deadline, 3*time.Second) + 700*time.Millisecond
			if l.DrainAnswerTimeout >= kill || l.DrainAcceptPeriod < 400*time.Millisecond || l.DrainAcceptPeriod+l.DrainIdleTimeout > l.DrainAnswerTimeout || l.DrainAnswerTimeout+l.DrainLateIdleTimeout >= kill {
				t.Errorf("longest deadline %v: %v %v %v", deadline, l.DrainAcceptPeriod, l.DrainIdleTimeout, l.DrainAnswerTimeout)
			}
			if l.ClientConns+l.OverflowConns+l.WorkerConns+reservedDescriptors > int(sockets) || l.ClientConns < 1 || l.WorkerConns < 1 {
				t.Errorf("%d descriptors: %d, %d and %d", sockets, l.ClientConns, l.OverflowConns, l.WorkerConns)
			}
		}
	}
}
