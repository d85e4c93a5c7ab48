package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"swiftdeal/balance"
)

// Guards against a discovery that replaces workers with long texts without end: the node remembers a number of workers that have left
// the list, so that the length of what it remembers of each needs a limit. The error names the key.
func TestTextsOfWorkersAreLimited(t *testing.T) {
	for key, longest := range map[string]string{
		"id": strings.Repeat("i", maxTextBytes), "addr": strings.Repeat("a", maxTextBytes-len(":80")) + ":80",
		"zone": strings.Repeat("z", maxTextBytes), "kind": strings.Repeat("k", maxTextBytes),
		"cell": strings.Repeat("c", maxTextBytes-len(`""`)),
	} {
		for _, c := range []struct{ text, want string }{{longest, ""}, {"x" + longest, "servers[0]." + key + ": longer than 256 bytes"}} {
			entry := map[string]any{"id": "s", "addr": "127.0.0.1:80", "state": "in_service", key: c.text}
			message, err := json.Marshal(map[string]any{"version": 1, "servers": []any{entry}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err = ParseEndpointList(message); c.want == "" && err != nil || c.want != "" && fmt.Sprint(err) != c.want {
				t.Errorf("%s with %d bytes: error %v, want %q", key, len(c.text), err, c.want)
			}
		}
	}
}

// Guards against messages of many short entries, which took many times the memory of their text: decoding ends with the first invalid
// entry.
func TestShortEntriesTakeLittleMemory(t *testing.T) {
	message := []byte(`{"version":1,"full":true,"servers":[{}` + strings.Repeat(",{}", 1<<20/len(",{}")) + "]}")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := ParseEndpointList(message)
	runtime.ReadMemStats(&after)
	if want := `servers[0].state: "" is unknown`; fmt.Sprint(err) != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(len(message)) {
		t.Errorf("%d bytes allocated for a message of %d", allocated, len(message))
	}
	for text, want := range map[string]string{"null": "<nil>", "{}": "servers: not a list", "[3]": "json: cannot unmarshal number"} {
		if _, err := ParseEndpointList([]byte(`{"version":1,"servers":` + text + "}")); !strings.HasPrefix(fmt.Sprint(err), want) {
			t.Errorf("servers %s: error %v, want %s", text, err, want)
		}
	}
}

// Changes, merged into the earlier list, give the later one.
func TestChangesSince(t *testing.T) {
	entry := func(id string, status balance.WorkerStatus) Endpoint {
		return Endpoint{Address: "127.0.0.1:1", Worker: balance.Worker{ID: id, Status: status}}
	}
	earlier := EndpointList{Version: 1, Full: true, Endpoints: []Endpoint{
		entry("stays", balance.Ready), entry("drains", balance.Ready), entry("goes", balance.Ready),
	}}
	later := EndpointList{Version: 2, Full: true, Source: "127.0.0.1:2", Endpoints: []Endpoint{
		entry("stays", balance.Ready), entry("drains", balance.Draining), entry("comes", balance.Ready),
	}}
	changes := later.ChangesSince(earlier)
	if changes.Full || len(changes.Endpoints) != 3 {
		t.Errorf("%+v", changes)
	}
	if got := earlier.Merge(changes); !reflect.DeepEqual(got, later) {
		t.Errorf("%+v, want %+v", got, later)
	}
}
