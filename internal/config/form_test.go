package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"swiftdeal/balance"
	"swiftdeal/internal/controlplane/disruption"
	"swiftdeal/internal/controlplane/rollout"
)

// cachedEndpoints returns the endpoint list in testdata/config.json.
func cachedEndpoints() EndpointList {
	return EndpointList{Version: 41, Full: true, Endpoints: []Endpoint{
		{Address: "127.0.0.1:80", Worker: balance.Worker{ID: "w1", Zone: "a", Kind: "m", Cell: "3", Weight: 4.5, StartedAt: 1700000000000 * time.Millisecond, Status: balance.Ready}},
		{Address: "127.0.0.1:81", Worker: balance.Worker{ID: "w2", Zone: "b", Kind: "n", Cell: `"c"`, Weight: 0.5, StartedAt: 7 * time.Millisecond, Status: balance.Draining}},
	}}
}

// Guards against a Go field whose tag no longer matches its key: every key, all of which the files contain, must take effect.
func TestEveryKey(t *testing.T) {
	c, err := Load(func(k string) string { return map[string]string{"GW_CONFIG": "testdata/config.json"}[k] }, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n7" || c.Listen != "127.0.0.1:8080" || c.Control != "127.0.0.1:8081" || c.Discovery.Preferred() != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.platformLimits != (platformLimits{Cores: 2.5, MemoryMB: 200, Sockets: 1000}) || c.Settings.MaxOpenRequests != 222 || c.Settings.Balance.Classes[0].Name != "job" {
		t.Errorf("%+v", c)
	}
	if !reflect.DeepEqual(c.CachedEndpoints, cachedEndpoints()) {
		t.Errorf("known: %+v", c.CachedEndpoints)
	}
	var keys []string
	for _, k := range strings.Fields("name listen control discovery seed limits limits.cores limits.memory_mb limits.sockets settings settings.limits " +
		"settings.limits.connidlems settings.limits.dialtimeoutms settings.limits.maxopen settings.profiles") {
		if !c.usedKeys[k] {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 || len(c.usedKeys) != 15 {
		t.Errorf("keys: %v are not known of %v", keys, c.usedKeys)
	}
	variables := map[string]string{"GW_CONFIG": "testdata/config.json", "GW_NAME": "n8", "GW_LISTEN": "127.0.0.1:1", "GW_CONTROL": "127.0.0.1:2", "GW_DISCOVERY": "127.0.0.1:3"}
	c, err = Load(func(k string) string { return variables[k] }, os.ReadFile)
	if err != nil || c.Name != "n8" || c.Listen != "127.0.0.1:1" || c.Control != "127.0.0.1:2" || c.Discovery.Preferred() != "127.0.0.1:3" {
		t.Errorf("by variables: %+v, %v", c, err)
	}
	f, err := LoadFleet("testdata/fleet.toml", os.ReadFile)
	if want := (&Fleet{
		Name: "clinics", MemberName: "n1", Site: "jakarta", Listen: "127.0.0.1:7946", Advertise: "10.0.0.1:7946", Seeds: []string{"127.0.0.2:7946", "127.0.0.3:7946"},
		Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, Period: 1500 * time.Millisecond, MaxMembers: 100, ForgetAfter: 10 * time.Minute, BelieveObservations: true,
		ControlPlane: &ControlPlane{Replicas: []string{"n1", "n2", "n3"}, Standbys: []string{"n4"}, ReplaceAfter: time.Minute, DataDir: "/var/lib/swiftdeal", Budgets: disruption.Budgets{
			Nodes: 11, NodesPerSite: 12, NodesPerVersion: 13, Workers: 14, WorkersPerSite: 15, WorkersPerKind: 16, MaxOvertakes: 17,
			MinFreeCapacity: map[string]int{"job": 18}, SiteOverrides: map[string]int{"jakarta": 19}, KindOverrides: map[string]int{"std": 20},
		}},
		Settings: &FleetSettings{ReadyTimeout: 2500 * time.Millisecond},
	}); err != nil || !reflect.DeepEqual(f, want) {
		t.Errorf("got  %+v %+v %v\nwant %+v", f, f.ControlPlane, err, want)
	}
	p, err := LoadPlan("testdata/release.toml", os.ReadFile)
	if want := (&rollout.Plan{
		Name: "july", Version: "0.2.0", FromVersion: "0.1.0", Sites: []string{"surabaya", "jakarta"}, CanarySize: 2, BatchSizes: []int{3, 4}, SoakMs: 60500, ReturnTimeoutMs: 120500,
		AutoRollback: true, Handover: true, Priority: 5, Gate: rollout.Gate{Alpha: 0.001, Power: 0.8, MinDifference: 0.04},
	}); err != nil || !reflect.DeepEqual(p, want) {
		t.Errorf("got %+v %v, want %+v", p, err, want)
	}
}

// The endpoint list is sent to another process of the node as JSON, so its form must not change between builds:
// testdata/group.json was written by revision 33b4d57.
func TestEndpointListForm(t *testing.T) {
	text, err := os.ReadFile("testdata/group.json")
	if err != nil {
		t.Fatal(err)
	}
	want := cachedEndpoints()
	want.Endpoints[0].MaxStartAge = 13 * time.Second
	var got EndpointList
	if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v %v\nwant %+v", got, err, want)
	}
	if again, err := json.Marshal(want); err != nil || string(again) != strings.TrimSpace(string(text)) {
		t.Errorf("got  %s %v\nwant %s", again, err, text)
	}
}
