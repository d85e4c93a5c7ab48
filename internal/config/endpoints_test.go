package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
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
